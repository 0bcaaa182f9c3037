import type { ByteBudget } from "./byte_budget.ts";
import type { ByteHold } from "./byte_hold.ts";

/**
 * Creates an owner that holds nothing. It may hold at most as much as it leaves
 * free: owners that grow without end thus never take the room of small ones.
 */
export function createByteHold(budget: ByteBudget): ByteHold {
  let held = 0;
  return {
    resize(bytes) {
      const more = bytes - held;
      if (more > 0) {
        if (bytes > budget.limit - budget.held() - more) return false;
        if (!budget.take(more)) return false;
      } else if (more < 0) budget.release(-more);
      held = bytes;
      return true;
    },
  };
}
