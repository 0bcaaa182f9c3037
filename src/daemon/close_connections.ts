import type { DependencyContainer } from "tsyringe";
import { Token } from "./token.ts";

/** Closes the connections that a daemon has opened, after its shutdown. */
export async function closeConnections(
  parts: DependencyContainer,
): Promise<void> {
  const relay = parts.resolve(Token.relay);
  const pools = [...relay.peerPools.values(), ...relay.tokenPools.values()];
  if (relay.serverPool !== null) pools.push(relay.serverPool);
  await Promise.all(pools.map((pool) => pool.close()));
  await parts.resolve(Token.fetches).close();
  await parts.resolve(Token.platform).close();
}
