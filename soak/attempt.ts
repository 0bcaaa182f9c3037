/** A client request and its result; times are from `performance.now()`. */
export type Attempt = {
  id: string;
  /** Index of the VM whose daemon received the request. */
  vm: number;
  /** Whether the request is non-idempotent and must run at most once. */
  once: boolean;
  sentAt: number;
  endedAt: number;
  /** HTTP status; 0 if the connection closed without a response. */
  status: number;
  /** Whether the body is the one that the server returns for this request. */
  complete: boolean;
  deadlineMs: number;
};
