import type { ByteBudget } from "./byte_budget.ts";
import type { ByteReservation } from "./byte_reservation.ts";

/**
 * Creates an owner that holds nothing. It may hold at most as much as it leaves
 * free: owners that grow without end thus never take the room of small ones.
 */
export function createByteReservation(budget: ByteBudget): ByteReservation {
  let held = 0;
  return {
    resize(bytes) {
      const more = bytes - held;
      if (more > 0) {
        if (bytes > budget.limit - budget.reserved() - more) return false;
        if (!budget.reserve(more)) return false;
      } else if (more < 0) budget.release(-more);
      held = bytes;
      return true;
    },
  };
}
