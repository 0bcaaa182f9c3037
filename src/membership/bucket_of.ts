import { hash } from "../core/hash.ts";
import { BUCKET_COUNT } from "./bucket_count.ts";

/** Returns the digest bucket of an address. */
export function bucketOf(address: string): number {
  return hash(address) % BUCKET_COUNT;
}
