import { hash } from "../core/hash.ts";
import { BUCKETS } from "./buckets.ts";

/** Returns the digest bucket of an address. */
export function bucketOf(address: string): number {
  return hash(address) % BUCKETS;
}
