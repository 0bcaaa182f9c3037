import type { TrafficSplit } from "./traffic_split.ts";

/**
 * Chooses the service of the next request by smooth weighted round robin: over
 * any run of requests the shares stay within one request of the weights.
 */
export function chooseService({ parts, credits }: TrafficSplit): string {
  if (parts.length === 1) return parts[0]!.service;
  let total = 0;
  let best = 0;
  for (let at = 0; at < parts.length; at++) {
    total += parts[at]!.weight;
    credits[at]! += parts[at]!.weight;
    if (credits[at]! > credits[best]!) best = at;
  }
  credits[best]! -= total;
  return parts[best]!.service;
}
