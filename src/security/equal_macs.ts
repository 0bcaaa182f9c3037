import { Buffer } from "node:buffer";
import { timingSafeEqual } from "node:crypto";

/** Compares two MACs in constant time. */
export function equalMacs(one: string, two: string): boolean {
  const left = Buffer.from(one);
  const right = Buffer.from(two);
  return left.length === right.length && timingSafeEqual(left, right);
}
