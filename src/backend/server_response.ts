import type { CallOutcome } from "../calls/call_outcome.ts";

/** A decoded response of a backend server. */
export type ServerResponse =
  /** The response belongs to another request. */
  | { kind: "foreign" }
  | {
    kind: "outcome";
    outcome: CallOutcome;
    /**
     * How long the server keeps an idle connection open, in ms; null if not
     * stated.
     */
    keepAliveMs: number | null;
  };
