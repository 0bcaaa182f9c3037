import type { Execution } from "./execution.ts";

/** State of the execution tokens issued by one daemon process. */
export type Ledger = {
  /** Address of the daemon, part of each token. */
  address: string;
  /** Random id of this process; differs after each restart. */
  instance: string;
  /** Key of this process for the MAC of its tokens. */
  key: Buffer;
  lifetimeMs: number;
  /** By nonce. Entries are kept for some time after the token expires. */
  executions: Map<string, Execution>;
  maxExecutions: number;
  /** Total size of the cached responses. */
  cachedBytes: number;
  maxCachedBytes: number;
  /**
   * Tokens that expire before this time may have run, as their entries may have
   * been deleted.
   */
  forgottenBefore: number;
  /**
   * Tokens that expire up to this time and were never presented must not run.
   */
  revokedThrough: number;
  /** Position at which the next sweep continues. */
  cursor: Iterator<[string, Execution]> | null;
};
