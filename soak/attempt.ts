/** One request of a client and what became of it; times by `performance.now()`. */
export type Attempt = {
  id: string;
  /** Index of the VM whose daemon took it. */
  vm: number;
  /** Whether it may run once at most. */
  once: boolean;
  sentAt: number;
  endedAt: number;
  /** 0 where the connection ended without an answer. */
  status: number;
  /** Whether the body is that of the server's answer to this request. */
  complete: boolean;
  deadlineMs: number;
};
