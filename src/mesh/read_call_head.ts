import type { CallHead, HeadOf } from "./call_head.ts";

/** Reads the head of a call from a message. */
export function readCallHead(head: CallHead): HeadOf {
  const [
    id,
    method,
    target,
    fields,
    route,
    serverId,
    nested,
    rank,
    repeatable,
  ] = head;
  return {
    id,
    method,
    target,
    fields,
    route,
    serverId,
    nested,
    rank,
    repeatable,
  };
}
