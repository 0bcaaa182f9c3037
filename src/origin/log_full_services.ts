import type { Logger } from "../core/logger.ts";
import { roundToHundredths } from "../core/round_to_hundredths.ts";
import type { Admission } from "./admission.ts";
import { SATURATION_LOAD } from "./saturation_load.ts";

// A full service has capacity again once its load is this far below saturation.
const HYSTERESIS = 0.2;

/** Logs each service that becomes full or has capacity again. */
export function logFullServices(
  log: Logger,
  { services }: Admission,
  /** Services that were full at the last call; updated in place. */
  full: Set<string>,
): void {
  for (const [service, { load, used, allowed, order }] of services) {
    const isFull = full.has(service)
      ? load > SATURATION_LOAD - HYSTERESIS
      : load >= SATURATION_LOAD;
    if (isFull === full.has(service)) continue;
    if (isFull) full.add(service);
    else full.delete(service);
    log(isFull ? "service-full" : "service-has-room", {
      service,
      load: roundToHundredths(load),
      used: roundToHundredths(used),
      allowed: roundToHundredths(allowed),
      order: order.map(({ name }) => name).join(","),
    });
  }
}
