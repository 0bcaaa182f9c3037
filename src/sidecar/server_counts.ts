import type { Backend } from "../backend/backend.ts";
import type { Mesh } from "../mesh/mesh.ts";

/**
 * Returns the number of available servers by service; a configured service
 * without any has 0.
 */
export function serverCounts(
  service: string,
  backend: Backend,
  mesh: Mesh,
  /** Services named in the active configuration. */
  configuredServices: Iterable<string>,
): Map<string, number> {
  const servers = new Map<string, number>();
  for (const name of configuredServices) servers.set(name, 0);
  for (const [name, peers] of mesh.index().serving) {
    servers.set(name, peers.length);
  }
  const own = Number(backend.available());
  servers.set(service, (servers.get(service) ?? 0) + own);
  return servers;
}
