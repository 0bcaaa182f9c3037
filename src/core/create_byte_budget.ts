import assert from "node:assert";
import type { ByteBudget } from "./byte_budget.ts";

/** Creates a budget of `limit` bytes with nothing reserved. */
export function createByteBudget(limit: number): ByteBudget {
  let reservedBytes = 0;
  return {
    limit,
    reserved: () => reservedBytes,
    reserve(bytes) {
      if (reservedBytes + bytes > limit) return false;
      reservedBytes += bytes;
      return true;
    },
    release(bytes) {
      assert(bytes <= reservedBytes, "released more bytes than were reserved");
      reservedBytes -= bytes;
    },
  };
}
