import type { Admission } from "./admission.ts";
import type { DepartmentShare } from "./department_share.ts";
import { rankOf } from "./rank_of.ts";
import { RANKS } from "./ranks.ts";
import type { Ticket } from "./ticket.ts";

/** Bounds memory if clients send arbitrary department names. */
const MAX_DEPARTMENTS = 1024;

/**
 * Counts an arrival in the histogram of recent arrivals. In the class being
 * shed, departments below their fair share are counted apart, because the level
 * does not shed them.
 */
export function recordArrival(admission: Admission, ticket: Ticket): void {
  const { demand, level } = admission;
  const rank = rankOf(ticket.priority);
  const share = shareOf(admission, ticket.department);
  if (share !== undefined) share.counts[rank]! += 1;
  if (share?.belowShare && rank === rankOf(level)) demand.belowShareCount += 1;
  else demand.counts[ticket.priority]! += 1;
}

function shareOf(
  admission: Admission,
  department: string,
): DepartmentShare | undefined {
  const { shares } = admission.demand;
  let share = shares.get(department);
  if (share === undefined && shares.size < MAX_DEPARTMENTS) {
    share = {
      counts: new Array<number>(RANKS).fill(0),
      rates: new Array<number>(RANKS).fill(0),
      belowShare: false,
    };
    shares.set(department, share);
  }
  return share;
}
