import type { CachedResponse } from "./cached_response.ts";

/**
 * Estimated size of the objects and strings of a response without their text.
 */
const OVERHEAD_BYTES = 512;

/** Returns the estimated memory of a cached response, in bytes. */
export function responseSize({ headers, body }: CachedResponse): number {
  let size = OVERHEAD_BYTES + body.length;
  for (const [name, value] of Object.entries(headers)) {
    size += name.length + String(value).length;
  }
  return size;
}
