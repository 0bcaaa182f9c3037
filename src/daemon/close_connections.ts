import type { DependencyContainer } from "tsyringe";
import { ContainerToken } from "./container_token.ts";

/** Closes the outgoing connections of a daemon after its shutdown. */
export async function closeConnections(
  container: DependencyContainer,
): Promise<void> {
  const relay = container.resolve(ContainerToken.relay);
  const pools = [...relay.peerPools.values(), ...relay.tokenPools.values()];
  if (relay.serverPool !== null) pools.push(relay.serverPool);
  await Promise.all(pools.map((pool) => pool.close()));
  await container.resolve(ContainerToken.fetches).close();
  await container.resolve(ContainerToken.platform).close();
}
