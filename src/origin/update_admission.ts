import type { Admission } from "./admission.ts";

// A server with a load of 1 has no free slot, and a little waits before it.
const TARGET_LOAD = 0.95;
const SMOOTHING_MS = 300;
// Change of the level for each second and each unit of load off the target.
const RISE_PER_S = 1.2;
const FALL_PER_S = 0.8;
// A single report of a long queue must not close a route at once.
const MOST_EXCESS = 1;
// A root that uses less of a service doesn't relieve it when it is refused.
const LEAST_COST_MS = 5;
// A root without requests for this long frees nothing when it is refused.
const SEEN_WITHIN_MS = 3_000;

/**
 * Moves the level of each service by the load of its servers: up while they
 * are over the target, down while they are under it. The roots that use a
 * service are refused in order of importance, and among equals the one that
 * costs it most goes first.
 */
export function updateAdmission(
  admission: Admission,
  loads: ReadonlyMap<string, number>,
  now: number,
): void {
  const { services, roots } = admission;
  const elapsedMs = now - admission.updatedAt;
  if (elapsedMs <= 0) return;
  admission.updatedAt = now;
  const weight = Math.min(1, elapsedMs / SMOOTHING_MS);
  for (const [service, load] of loads) {
    let pressure = services.get(service);
    if (pressure === undefined) {
      pressure = { load, level: 0, order: [] };
      services.set(service, pressure);
    }
    pressure.load += weight * (load - pressure.load);
    if (pressure.level === 0 && pressure.load < TARGET_LOAD) continue;
    pressure.order = refusalOrder(roots, service, now);
    const error = Math.min(pressure.load - TARGET_LOAD, MOST_EXCESS);
    const perSecond = error * (error > 0 ? RISE_PER_S : FALL_PER_S);
    const level = pressure.level + perSecond * elapsedMs / 1_000;
    pressure.level = Math.max(0, Math.min(level, pressure.order.length));
  }
}

function refusalOrder(
  roots: Admission["roots"],
  service: string,
  now: number,
): string[] {
  const users: { name: string; rank: number; slotMs: number }[] = [];
  for (const [name, { rank, costs, seenAt }] of roots) {
    if (now - seenAt > SEEN_WITHIN_MS) continue;
    const cost = costs.find((one) => one.service === service);
    if (cost === undefined || cost.slotMs < LEAST_COST_MS) continue;
    users.push({ name, rank, slotMs: cost.slotMs });
  }
  users.sort((a, b) => b.rank - a.rank || b.slotMs - a.slotMs);
  return users.map(({ name }) => name);
}
