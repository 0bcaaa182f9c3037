import type { Execution } from "./execution.ts";

/** Execution tokens of one daemon process. */
export type Ledger = {
  /** Address of the daemon, part of each token. */
  address: string;
  /** Random id of this process; a restart has another. */
  instance: string;
  /** Key of this process for the MAC of its tokens. */
  key: Buffer;
  lifetimeMs: number;
  /** By nonce. Kept for some time after the token's expiry. */
  executions: Map<string, Execution>;
  maxExecutions: number;
  /** Size of all cached responses. */
  cachedBytes: number;
  maxCachedBytes: number;
  /** Tokens that expire before this time may have run and been forgotten. */
  forgottenBefore: number;
  /** Tokens that expire up to this time and were never presented cannot run. */
  revokedThrough: number;
  /** Where the sweep goes on. */
  cursor: Iterator<[string, Execution]> | null;
};
