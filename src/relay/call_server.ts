import type { IncomingHttpHeaders } from "node:http";
import { claimToken } from "../execution/claim_token.ts";
import type { Outcome } from "../outcomes/outcome.ts";
import { checkResponse } from "./check_response.ts";
import { dispatch } from "./dispatch.ts";
import { endInboundCall } from "./end_inbound_call.ts";
import { endToEndHeaders } from "./end_to_end_headers.ts";
import type { InboundCall } from "./inbound_call.ts";
import { inboundFeedback } from "./inbound_feedback.ts";
import { recordChunk } from "./record_chunk.ts";
import type { Relay } from "./relay.ts";
import { serverHeaders } from "./server_headers.ts";

/** Sends an admitted request to the local backend server. */
export function callServer(relay: Relay, call: InboundCall): void {
  const { attempt } = call;
  call.phase = "running";
  call.startedAt = relay.clock();
  if (relay.serverPool === null) {
    return failCall(relay, call, { kind: "not-run", reason: "no-server" });
  }
  call.exchange = dispatch(relay.serverPool, {
    method: attempt.method,
    path: attempt.path.slice(attempt.service.length + 1) || "/",
    headers: serverHeaders(attempt, call.startedAt),
    body: attempt.body,
  }, {
    begin: () => claimExecution(relay, call),
    start: (status, headers) => startResponse(relay, call, status, headers),
    data: (chunk) => passChunk(call, chunk),
    end: () => endResponse(relay, call),
    fail: ({ sent }) =>
      failCall(
        relay,
        call,
        sent ? connectionLossOutcome(call) : {
          kind: "not-run",
          reason: "connect-failed",
        },
      ),
  });
}

/**
 * Returns whether the attempt may be sent. Claims its token immediately before
 * the first byte, so that a token which expired during a pause of this process
 * is not used.
 */
function claimExecution(relay: Relay, call: InboundCall): boolean {
  const now = relay.clock();
  const expired = now >= call.open.deadlineAt;
  const claimed = !expired &&
    (call.nonce === null || claimToken(relay.ledger, call.nonce, now));
  if (claimed) return true;
  const reason = expired ? "deadline" : "token-expired";
  // Deferred: the dispatcher must return before the freed slot is used again.
  queueMicrotask(() => failCall(relay, call, { kind: "not-run", reason }));
  return false;
}

function startResponse(
  relay: Relay,
  call: InboundCall,
  status: number,
  headers: IncomingHttpHeaders,
): void {
  const failure = checkResponse({ status, headers }, {
    method: call.attempt.method,
    attemptId: call.attempt.context.attemptId,
    sheds: relay.server?.sheds === true,
    echoes: relay.server?.echoes === true,
  });
  if (failure !== null) {
    call.exchange?.cancel();
    return failCall(relay, call, failure);
  }
  call.status = status;
  const forwarded = endToEndHeaders(headers);
  if (call.nonce !== null) {
    call.recording = {
      status,
      headers: forwarded,
      chunks: [],
      size: 0,
      overflow: false,
    };
  }
  const feedback = inboundFeedback(relay, call.attempt, call.parent);
  call.reply?.start({ status, headers: forwarded, feedback });
}

function passChunk(call: InboundCall, chunk: Buffer): boolean {
  if (call.recording !== null) recordChunk(call.recording, chunk);
  return call.reply?.data(chunk) ?? true;
}

function endResponse(relay: Relay, call: InboundCall): void {
  const status = call.status ?? 0;
  if (endInboundCall(relay, call, { kind: "answered", status })) {
    call.reply?.end();
  }
}

function connectionLossOutcome(call: InboundCall): Outcome {
  const reason = call.status === null ? "connection-lost" : "truncated";
  return { kind: "unknown", reason };
}

function failCall(relay: Relay, call: InboundCall, outcome: Outcome): void {
  const feedback = inboundFeedback(relay, call.attempt, call.parent);
  if (endInboundCall(relay, call, outcome)) {
    call.reply?.fail(outcome, feedback);
  }
}
