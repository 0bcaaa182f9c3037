import assert from "node:assert";
import type { ByteBudget } from "./byte_budget.ts";

/** Creates an account of which nothing is taken. */
export function createByteBudget(limit: number): ByteBudget {
  let held = 0;
  return {
    limit,
    reserved: () => held,
    reserve(bytes) {
      if (held + bytes > limit) return false;
      held += bytes;
      return true;
    },
    release(bytes) {
      assert(bytes <= held, "more bytes released than taken");
      held -= bytes;
    },
  };
}
