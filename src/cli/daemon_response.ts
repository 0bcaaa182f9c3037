/** What came of a request to the local listener of a daemon. */
export type DaemonResponse =
  | { kind: "answered"; status: number; text: string }
  /** The request was not sent. */
  | { kind: "unreachable"; message: string }
  /** The request may have been sent and no complete response came. */
  | { kind: "unknown"; message: string };
