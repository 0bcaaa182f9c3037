import type { CallOutcome } from "../calls/call_outcome.ts";

/** A response of a backend server as the adapter understands it. */
export type ServerResponse =
  /** It answers another request. */
  | { kind: "foreign" }
  | {
    kind: "outcome";
    outcome: CallOutcome;
    /** How long the server keeps the idle connection open, in ms. */
    keepAliveMs: number | null;
  };
