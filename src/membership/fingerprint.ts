import { hash } from "../core/hash.ts";

const LOW_RANGE = 2 ** 16;

/**
 * Returns a 48-bit hash of a packed report for the digests; not for security.
 */
export function fingerprint(text: string): number {
  return hash(text) * LOW_RANGE + hash(`~${text}`) % LOW_RANGE;
}
