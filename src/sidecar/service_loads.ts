import type { Backend } from "../backend/backend.ts";
import type { Mesh } from "../mesh/mesh.ts";

/** Returns the mean load of the available servers, by service. */
export function serviceLoads(
  service: string,
  backend: Backend,
  mesh: Mesh,
): Map<string, number> {
  const sums = new Map<string, { load: number; servers: number }>();
  const add = (name: string, load: number) => {
    const sum = sums.get(name) ?? { load: 0, servers: 0 };
    sum.load += load;
    sum.servers++;
    sums.set(name, sum);
  };
  if (backend.available()) add(service, backend.load());
  for (const [name, peers] of mesh.index().serving) {
    for (const { peer } of peers) add(name, peer.load);
  }
  return new Map(
    [...sums].map(([name, { load, servers }]) => [name, load / servers]),
  );
}
