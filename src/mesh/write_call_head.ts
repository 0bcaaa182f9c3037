import type { CallRequest } from "../calls/call_request.ts";
import { FRACTION_SCALE } from "./fraction_scale.ts";
import type { CallHead } from "./call_head.ts";

/** Encodes the head of a call. */
export function writeCallHead(request: CallRequest): CallHead {
  const { id, method, target, fields, route, serverId } = request;
  const { nested, rank, repeatable, repeatedShare } = request;
  return [
    id,
    method,
    target,
    fields as string[],
    route,
    serverId,
    nested,
    rank,
    repeatable,
    Math.round(FRACTION_SCALE * repeatedShare),
  ];
}
