import { randomBytes } from "node:crypto";
import type { Ledger } from "./ledger.ts";

const TOKEN_LIFETIME_MS = 60_000;

/** Creates the ledger of a daemon process that has just started. */
export function createLedger(address: string): Ledger {
  return {
    address,
    instance: randomBytes(8).toString("hex"),
    key: randomBytes(32),
    lifetimeMs: TOKEN_LIFETIME_MS,
    executions: new Map(),
  };
}
