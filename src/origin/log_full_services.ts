import type { Logger } from "../core/logger.ts";
import { roundToHundredths } from "../core/round_to_hundredths.ts";
import type { Admission } from "./admission.ts";
import { SATURATION_LOAD } from "./saturation_load.ts";

// A service that was full has room again this much below.
const HYSTERESIS = 0.2;

/** Writes a line for each service that fills up or has room again. */
export function logFullServices(
  log: Logger,
  { services }: Admission,
  /** Services that were full; kept up to date. */
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
