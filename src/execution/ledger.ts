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
  /** By nonce. Kept until the token expires. */
  executions: Map<string, Execution>;
};
