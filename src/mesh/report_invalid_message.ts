import type { Logger } from "../core/logger.ts";
import { count } from "../metrics/count.ts";
import type { Metrics } from "../metrics/metrics.ts";
import type { InvalidMessage } from "./invalid_message.ts";

/** Logs and counts a message of another daemon that was left out. */
export function reportInvalidMessage(
  { kind, unknownKind, at, problem }: InvalidMessage,
  peer: string | undefined,
  { log, metrics }: { log: Logger; metrics: Metrics },
): void {
  if (unknownKind) {
    // Daemons of later versions may send further kinds.
    log("peer-message-ignored", { peer, kind });
    return;
  }
  count(metrics, "peer_messages_invalid", { kind });
  log("peer-message-invalid", { peer, kind, at, message: problem });
}
