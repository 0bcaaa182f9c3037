import type { IncomingHttpHeaders } from "node:http";
import { Header } from "../context/header.ts";
import type { Outcome } from "../outcomes/outcome.ts";
import { isDelimited } from "./is_delimited.ts";

/**
 * Returns the outcome that the head of a backend server's response gives; null
 * if the response answers the attempt and its body can be read.
 */
export function checkResponse(
  { status, headers }: { status: number; headers: IncomingHttpHeaders },
  { method, attemptId, sheds, echoes }: {
    method: string;
    attemptId: string;
    /** The server announced that its `not-run` can be trusted. */
    sheds: boolean;
    /** The server announced that it names the attempt in each response. */
    echoes: boolean;
  },
): Outcome | null {
  const echoedAttemptId = headers[Header.attempt];
  const echoed = echoedAttemptId === attemptId;
  const shed = sheds && headers[Header.outcome] === "not-run";
  // Without the attempt, it may repeat the refusal of an earlier request on the
  // same connection.
  if (!echoed && (echoes || shed || echoedAttemptId !== undefined)) {
    return { kind: "unknown", reason: "mismatched-response" };
  }
  if (shed) return { kind: "not-run", reason: "server-shed" };
  if (!isDelimited({ method, status, headers })) {
    return { kind: "unknown", reason: "malformed-response" };
  }
  return null;
}
