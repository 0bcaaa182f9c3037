import type { Forwarding } from "./forwarding.ts";
import type { Relay } from "./relay.ts";

/** Writes the log line of one routing decision. */
export function logRoute(
  relay: Relay,
  { call, attempts }: Forwarding,
  choice: { daemon?: string; reason: string; considered: number },
): void {
  relay.log("route", {
    request: call.context.requestId,
    service: call.service,
    attempt: attempts + 1,
    ...choice,
  });
}
