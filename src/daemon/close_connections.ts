import type { DependencyContainer } from "tsyringe";
import { ContainerToken } from "./container_token.ts";

/** Closes the connections that a daemon has opened, after its shutdown. */
export async function closeConnections(
  parts: DependencyContainer,
): Promise<void> {
  const relay = parts.resolve(ContainerToken.relay);
  const pools = [...relay.peerPools.values(), ...relay.tokenPools.values()];
  if (relay.serverPool !== null) pools.push(relay.serverPool);
  await Promise.all(pools.map((pool) => pool.close()));
  await parts.resolve(ContainerToken.fetches).close();
  await parts.resolve(ContainerToken.platform).close();
}
