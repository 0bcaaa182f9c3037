/** Outcome of a request to the local listener of a daemon. */
export type DaemonResponse =
  | { kind: "answered"; status: number; text: string }
  /** The request was not sent. */
  | { kind: "unreachable"; message: string }
  /** The request may have been sent, but no complete response arrived. */
  | { kind: "unknown"; message: string };
