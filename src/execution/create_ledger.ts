import { randomBytes } from "node:crypto";
import type { Ledger } from "./ledger.ts";
import { TOKEN_LIFETIME_MS } from "./token_lifetime_ms.ts";

/**
 * Allows 1,870 non-repeatable requests per second with entries kept for 70 s.
 */
const MAX_EXECUTIONS = 131_072;
const MAX_CACHED_BYTES = 24 * 1024 * 1024;

/**
 * Creates an empty ledger with a new instance id and key, for a daemon process
 * that has just started.
 */
export function createLedger(
  address: string,
  { maxExecutions = MAX_EXECUTIONS, maxCachedBytes = MAX_CACHED_BYTES } = {},
): Ledger {
  return {
    address,
    instance: randomBytes(8).toString("hex"),
    key: randomBytes(32),
    lifetimeMs: TOKEN_LIFETIME_MS,
    executions: new Map(),
    maxExecutions,
    cachedBytes: 0,
    maxCachedBytes,
    forgottenBefore: -Infinity,
    revokedThrough: -Infinity,
    cursor: null,
  };
}
