import type { CallOutcome } from "../calls/call_outcome.ts";
import type { Labels } from "../metrics/labels.ts";
import type { DisconnectCause } from "../mesh/disconnect_cause.ts";
import type { RowStore } from "./row_store.ts";

type Counter = {
  help: string;
  /** Label combinations that are exported as 0 from the start. */
  series: readonly Labels[];
};

type UnknownReason = Extract<CallOutcome, { kind: "unknown" }>["reason"];
type NotRunReason = Extract<CallOutcome, { kind: "not-run" }>["reason"];

const REQUEST_SOURCES = ["client", "server"];
const REPLY_KINDS = ["answer", "refusal", "failure"];
const STATUS_CLASSES = ["2xx", "3xx", "4xx", "5xx"];
const GATE_REFUSAL_REASONS: readonly NotRunReason[] = [
  "overload",
  "expired",
  "leaving",
  "no-server",
  "other-server",
];
const REJECTED_REASONS: readonly NotRunReason[] = [
  "server-rejected",
  "other-server",
  "connect-failed",
];
const UNKNOWN_REASONS: readonly (UnknownReason | "cancelled" | "overdue")[] = [
  "connection-lost",
  "malformed-response",
  "mismatched-response",
  "truncated-response",
  "unsigned-response",
  "unconfirmed-refusal",
  "oversized-response",
  "no-room",
  "cancelled",
  "overdue",
];
const DISCONNECT_CAUSES: readonly DisconnectCause["kind"][] = [
  "refused",
  "reset",
  "timeout",
  "unreachable",
  "closed",
  "given-up",
  "protocol",
  "other",
];
const STORE_OPERATIONS: readonly (keyof RowStore)[] = [
  "list",
  "changes",
  "put",
];

const operationLabels = STORE_OPERATIONS.map((operation) => ({ operation }));
const serverCallLabels = (outcome: string, { reason = "", code = "" }) => ({
  outcome,
  reason,
  code,
});

/** Counters of a daemon by name, without the metric prefix. */
export const Counters: Readonly<Record<string, Counter>> = {
  requests: {
    help: "Replies to requests of clients and of the own server.",
    series: REQUEST_SOURCES.flatMap((from) =>
      REPLY_KINDS.map((outcome) => ({ from, outcome }))
    ),
  },
  requests_unserved: {
    help: "Requests without an answer of a server. The service is the one " +
      "without room where that is the reason.",
    series: [],
  },
  gate_refusals: {
    help: "Requests that were turned away beside the own server.",
    series: GATE_REFUSAL_REASONS.map((reason) => ({ reason })),
  },
  server_calls: {
    help: "Calls to the own server by what became of them.",
    series: [
      ...STATUS_CLASSES.map((code) => serverCallLabels("answered", { code })),
      ...REJECTED_REASONS.map((reason) =>
        serverCallLabels("rejected", { reason })
      ),
      ...UNKNOWN_REASONS.map((reason) =>
        serverCallLabels("unknown", { reason })
      ),
    ],
  },
  retries: {
    help: "Requests that were sent once more.",
    series: [],
  },
  retries_denied: {
    help: "Requests that weren't sent once more for want of budget.",
    series: [],
  },
  peer_links_lost: {
    help: "Links to other daemons that were lost or couldn't be opened.",
    series: DISCONNECT_CAUSES.map((reason) => ({ reason })),
  },
  peer_calls_lost: {
    help: "Calls to other daemons that were under way on a lost link.",
    series: [{}],
  },
  peer_messages_invalid: {
    help: "Messages of other daemons that were left out as invalid.",
    series: [],
  },
  peer_addresses_invalid: {
    help: "Addresses of daemons, told by others, that can't be connected to.",
    series: [{}],
  },
  rows_invalid: {
    help: "Rows of the platform's store that were left out as invalid.",
    series: [{}],
  },
  store_calls: {
    help: "Calls to the store of the platform.",
    series: operationLabels,
  },
  store_call_failures: {
    help: "Calls to the store of the platform without a valid answer.",
    series: operationLabels,
  },
  configurations_unreadable: {
    help: "Configurations that didn't take force because of their content.",
    series: [{}],
  },
  log_lines_dropped: {
    help: "Log lines beyond the bound on lines of one event a second.",
    series: [],
  },
};
