import type { CallOutcome } from "../calls/call_outcome.ts";

/** A decoded response of a backend server. */
export type ServerResponse =
  /** The response belongs to another request. */
  | { kind: "foreign" }
  | {
    kind: "outcome";
    outcome: CallOutcome;
    /**
     * Whether the response names the request. One that doesn't may answer an
     * earlier request of its connection.
     */
    identified: boolean;
    /**
     * How long the server keeps an idle connection open, in ms; null if not
     * stated.
     */
    keepAliveMs: number | null;
  };
