import type { CachedResponse } from "./cached_response.ts";

/** Objects and strings of a response without its text; an estimate. */
const OVERHEAD_BYTES = 512;

/** Returns the memory that a cached response takes, in bytes. */
export function responseSize({ headers, body }: CachedResponse): number {
  let size = OVERHEAD_BYTES + body.length;
  for (const [name, value] of Object.entries(headers)) {
    size += name.length + String(value).length;
  }
  return size;
}
