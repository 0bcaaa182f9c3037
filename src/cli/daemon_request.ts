/** A request to the local listener of a daemon. */
export type DaemonRequest = {
  /** `host:port` */
  daemon: string;
  method: "GET" | "POST";
  path: string;
  /** Sent as JSON. */
  body?: unknown;
  /** Media type; JSON by default. */
  accept?: string;
};
