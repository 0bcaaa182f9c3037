import { Pool } from "undici";
import type { Relay } from "./relay.ts";

const CONNECTIONS = 2;
const CONNECT_TIMEOUT_MS = 500;
const KEEP_ALIVE_MS = 30_000;

/**
 * Returns the connection pool for token requests to another daemon. It is
 * separate from the data path: in a surge, the token request of a critical call
 * waited behind other calls there until it timed out.
 */
export function tokenPool(relay: Relay, address: string): Pool {
  let pool = relay.tokenPools.get(address);
  if (pool === undefined) {
    pool = new Pool(`http://${address}`, {
      connections: CONNECTIONS,
      connect: { timeout: CONNECT_TIMEOUT_MS },
      keepAliveTimeout: KEEP_ALIVE_MS,
    });
    relay.tokenPools.set(address, pool);
  }
  return pool;
}
