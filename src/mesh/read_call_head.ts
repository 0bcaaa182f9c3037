import { FRACTION_SCALE } from "./fraction_scale.ts";
import type { CallHead } from "./call_head.ts";
import type { DecodedCallHead } from "./decoded_call_head.ts";

/** Decodes the head of a call. */
export function readCallHead(head: CallHead): DecodedCallHead {
  return {
    id: head[0],
    method: head[1],
    target: head[2],
    fields: head[3],
    route: head[4],
    serverId: head[5],
    nested: head[6],
    rank: head[7],
    repeatable: head[8],
    repeatedShare: (head[9] ?? 0) / FRACTION_SCALE,
  };
}
