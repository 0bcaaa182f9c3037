import type { ByteBudget } from "./byte_budget.ts";
import type { ByteReservation } from "./byte_reservation.ts";

/**
 * Creates an empty reservation. It may grow at most to the size that remains
 * free in the budget, so that owners that keep growing always leave room for
 * small ones.
 */
export function createByteReservation(budget: ByteBudget): ByteReservation {
  let size = 0;
  return {
    resize(bytes) {
      const growth = bytes - size;
      if (growth > 0) {
        if (bytes > budget.limit - budget.reserved() - growth) return false;
        if (!budget.reserve(growth)) return false;
      } else if (growth < 0) budget.release(-growth);
      size = bytes;
      return true;
    },
  };
}
