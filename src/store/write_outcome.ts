import { parseJson } from "../core/parse_json.ts";
import type { Reply } from "./reply.ts";
import { TableError } from "./table_error.ts";

type WriteOutcome =
  | { kind: "written" }
  | { kind: "conflict" }
  | { kind: "unavailable"; message: string }
  | { kind: "unknown"; message: string };

/** Errors that the protocol documents as raised before anything is written. */
const NOT_WRITTEN_ERRORS = new Set([
  "AccessDeniedException",
  "IncompleteSignatureException",
  "MissingAuthenticationTokenException",
  "ProvisionedThroughputExceededException",
  "RequestLimitExceeded",
  "ResourceNotFoundException",
  "ServiceUnavailable",
  "ThrottlingException",
  "TransactionCanceledException",
  "TransactionInProgressException",
  "UnrecognizedClientException",
  "ValidationException",
]);

/**
 * Interprets the reply to a transaction. An error that isn't documented as
 * preceding any write is `unknown`.
 */
export function writeOutcome(reply: Reply): WriteOutcome {
  if (reply.kind === "not-sent") {
    return { kind: "unavailable", message: reply.message };
  }
  if (reply.kind === "no-response") {
    return { kind: "unknown", message: reply.message };
  }
  if (reply.status === 200) return { kind: "written" };
  const error = parseJson(TableError, reply.body);
  const message = `The table service answered ${reply.status}`;
  if (!error.ok) return { kind: "unknown", message };
  const { __type: type, CancellationReasons: reasons } = error.value;
  if (reasons.some(({ Code }) => Code === "ConditionalCheckFailed")) {
    return { kind: "conflict" };
  }
  return {
    kind: NOT_WRITTEN_ERRORS.has(type) ? "unavailable" : "unknown",
    message: `${message} ${type}`,
  };
}
