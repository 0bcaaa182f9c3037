import type { Admission } from "./admission.ts";
import type { Share } from "./share.ts";
import { rankOf } from "./rank_of.ts";
import { RANKS } from "./ranks.ts";
import type { Ticket } from "./ticket.ts";

/** Bounds memory against invented department names. */
const MAX_DEPARTMENTS = 1024;

/** Counts an arrival in the histogram of recent arrivals. */
export function arrive(admission: Admission, ticket: Ticket): void {
  const { demand, level } = admission;
  const rank = rankOf(ticket.priority);
  const share = shareOf(admission, ticket.department);
  if (share !== undefined) share.counts[rank]! += 1;
  if (share?.modest && rank === rankOf(level)) demand.modestCount += 1;
  else demand.counts[ticket.priority]! += 1;
}

function shareOf(admission: Admission, department: string): Share | undefined {
  const { shares } = admission.demand;
  let share = shares.get(department);
  if (share === undefined && shares.size < MAX_DEPARTMENTS) {
    share = {
      counts: new Array<number>(RANKS).fill(0),
      rates: new Array<number>(RANKS).fill(0),
      modest: false,
    };
    shares.set(department, share);
  }
  return share;
}
