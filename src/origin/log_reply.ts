import type { Logger } from "../core/logger.ts";
import { roundToHundredths } from "../core/round_to_hundredths.ts";
import type { OpenCall } from "./open_call.ts";
import type { Reply } from "./reply.ts";

const EVENTS: Record<Reply["kind"], string> = {
  answer: "request-answered",
  refusal: "request-refused",
  failure: "request-failed",
  "no-route": "request-unrouted",
};

/** Logs the reply to a request, with what it depended on. */
export function logReply(
  log: Logger,
  { request, route, root, service, target, attempts, refusedBy }: OpenCall,
  reply: Reply,
  { ms, version }: { ms: number; version: number | undefined },
): void {
  log(EVENTS[reply.kind], {
    id: request.id,
    route: route.name,
    nested: root === false,
    service,
    server: target?.serverId,
    load: target === null ? undefined : roundToHundredths(target.load),
    attempts,
    turnedAway: refusedBy.size,
    ms: Math.round(ms),
    version,
    status: reply.kind === "answer" ? reply.status : undefined,
    reason: "reason" in reply ? reply.reason : undefined,
    retryAfterMs: reply.kind === "refusal"
      ? Math.round(reply.retryAfterMs)
      : undefined,
  });
}
