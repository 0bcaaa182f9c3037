import type { IncomingHttpHeaders } from "node:http";
import { formatContext } from "../context/format_context.ts";
import { Header } from "../context/header.ts";
import { Outcome } from "../outcomes/outcome.ts";
import type { Attempt } from "./attempt.ts";
import { dispatch } from "./dispatch.ts";
import { endToEndHeaders } from "./end_to_end_headers.ts";
import type { Exchange } from "./exchange.ts";
import type { Feedback } from "./feedback.ts";
import { noFeedback } from "./no_feedback.ts";
import { parseFeedback } from "./parse_feedback.ts";
import { peerPool } from "./peer_pool.ts";
import type { Relay } from "./relay.ts";
import type { RemoteAttempt } from "./remote_attempt.ts";
import type { Reply } from "./reply.ts";

/**
 * Time without progress after which the other daemon is first probed, in ms.
 */
const INITIAL_STALL_TIMEOUT_MS = 1_000;

/** Result of an attempt as given by the response headers of another daemon. */
type PeerResponse =
  | { kind: "answered"; feedback: Feedback }
  | { kind: "failed"; outcome: Outcome; feedback: Feedback };

/** Sends an attempt to another daemon. */
export function sendRemote(
  relay: Relay,
  { attempt, address }: { attempt: Attempt; address: string },
  reply: Reply,
): Exchange {
  let failed = false;
  let started = false;
  const fail = (outcome: Outcome, feedback: Feedback) => {
    failed = true;
    relay.remoteAttempts.delete(remote);
    reply.fail(outcome, feedback);
  };
  const remote: RemoteAttempt = {
    attemptId: attempt.context.attemptId,
    address,
    sent: false,
    progressAt: relay.clock(),
    paused: false,
    stallTimeoutMs: INITIAL_STALL_TIMEOUT_MS,
    probing: false,
    lose() {
      exchange.cancel();
      fail(connectionLossOutcome(remote.sent, started), noFeedback);
    },
  };
  relay.remoteAttempts.add(remote);
  const exchange = dispatch(peerPool(relay, address), {
    method: attempt.method,
    path: attempt.path,
    headers: remoteHeaders(relay, attempt),
    body: attempt.body,
  }, {
    begin() {
      remote.sent = true;
      remote.progressAt = relay.clock();
      return true;
    },
    start(status, headers) {
      const peerResponse = readPeerResponse(attempt, headers);
      if (peerResponse.kind === "answered") {
        started = true;
        remote.progressAt = relay.clock();
        const forwarded = endToEndHeaders(headers);
        return reply.start({
          status,
          headers: forwarded,
          feedback: peerResponse.feedback,
        });
      }
      fail(peerResponse.outcome, peerResponse.feedback);
    },
    data(chunk) {
      remote.progressAt = relay.clock();
      const ready = failed || reply.data(chunk);
      remote.paused = !ready;
      return ready;
    },
    end() {
      relay.remoteAttempts.delete(remote);
      if (!failed) reply.end();
    },
    fail({ sent }) {
      if (!failed) fail(connectionLossOutcome(sent, started), noFeedback);
    },
  });
  return {
    cancel() {
      relay.remoteAttempts.delete(remote);
      exchange.cancel();
    },
    resume() {
      remote.paused = false;
      remote.progressAt = relay.clock();
      exchange.resume();
    },
  };
}

function remoteHeaders(
  relay: Relay,
  attempt: Attempt,
): Record<string, string | string[]> {
  const headers: Record<string, string | string[]> = {
    ...attempt.headers,
    ...formatContext(attempt.context, relay.clock()),
  };
  if (attempt.tokensWanted > 0) {
    headers[Header.tokensWanted] = String(attempt.tokensWanted);
  }
  return headers;
}

function readPeerResponse(
  attempt: Attempt,
  headers: IncomingHttpHeaders,
): PeerResponse {
  if (headers[Header.attempt] !== attempt.context.attemptId) {
    const outcome = { kind: "unknown", reason: "mismatched-response" } as const;
    return { kind: "failed", outcome, feedback: noFeedback };
  }
  const feedback = parseFeedback(headers);
  const kind = headers[Header.outcome];
  if (kind === "answered") return { kind: "answered", feedback };
  const outcome = Outcome.safeParse({ kind, reason: headers[Header.reason] });
  if (outcome.success) {
    return { kind: "failed", outcome: outcome.data, feedback };
  }
  return {
    kind: "failed",
    outcome: { kind: "unknown", reason: "malformed-response" },
    feedback: noFeedback,
  };
}

function connectionLossOutcome(sent: boolean, started: boolean): Outcome {
  if (!sent) return { kind: "not-run", reason: "connect-failed" };
  return { kind: "unknown", reason: started ? "truncated" : "connection-lost" };
}
