import { Pool } from "undici";
import type { Relay } from "./relay.ts";

const CONNECT_TIMEOUT_MS = 500;
const KEEP_ALIVE_MS = 30_000;

/** Returns the connection pool for another daemon, created on first use. */
export function peerPool(relay: Relay, address: string): Pool {
  let pool = relay.peerPools.get(address);
  if (pool === undefined) {
    pool = new Pool(`http://${address}`, {
      connections: relay.limits.connectionsPerPeer,
      pipelining: 1,
      connect: { timeout: CONNECT_TIMEOUT_MS },
      keepAliveTimeout: KEEP_ALIVE_MS,
      // The relay enforces deadlines and detects stalled connections itself.
      headersTimeout: 0,
      bodyTimeout: 0,
    });
    relay.peerPools.set(address, pool);
  }
  return pool;
}
