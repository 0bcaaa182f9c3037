import type { TrafficSplit } from "./traffic_split.ts";

/**
 * Chooses the service of the next request by smooth weighted round robin: over
 * any series of requests the shares stay within one request of the weights.
 */
export function chooseService({ parts, credits }: TrafficSplit): string {
  if (parts.length === 1) return parts[0]!.service;
  let total = 0;
  let best = 0;
  for (let index = 0; index < parts.length; index++) {
    total += parts[index]!.weight;
    credits[index]! += parts[index]!.weight;
    if (credits[index]! > credits[best]!) best = index;
  }
  credits[best]! -= total;
  return parts[best]!.service;
}
