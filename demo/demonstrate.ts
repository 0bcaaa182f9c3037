import type { Deployment } from "../deployments/deployment.ts";
import type { Fleet } from "../fleet/fleet.ts";
import { Ports } from "../fleet/ports.ts";
import { runLoad } from "../fleet/run_load.ts";
import type { Sample } from "../fleet/sample.ts";
import { startFleet } from "../fleet/start_fleet.ts";
import { stopFleet } from "../fleet/stop_fleet.ts";
import { seededRandom } from "../src/core/seeded_random.ts";

const SEED = 1;
const PHASES = [
  { name: "below capacity", rate: 150, durationMs: 4_000 },
  { name: "overload", rate: 900, durationMs: 6_000 },
  { name: "after the overload", rate: 150, durationMs: 4_000 },
];

/** Starts an installation, overloads it and prints the results of each phase. */
export async function demonstrate(
  deployment: Deployment,
  base: number,
): Promise<void> {
  console.log(`\n${deployment.name}: starting`);
  const fleet = await startFleet({ deployment, base });
  try {
    console.log(`${deployment.name}: ${fleet.members.length} processes run`);
    for (const phase of PHASES) await runPhase(fleet, phase);
  } finally {
    await stopFleet(fleet);
    console.log(`${deployment.name}: stopped`);
  }
}

async function runPhase(
  fleet: Fleet,
  { name, rate, durationMs }: (typeof PHASES)[number],
): Promise<void> {
  const samples = await runLoad({
    targets: fleet.members.filter(({ kind }) => kind === "daemon")
      .map(({ host }) => `${host}:${Ports.ingress}`),
    traffic: fleet.deployment.traffic,
    rate: () => rate,
    durationMs,
    resends: 0,
    timeoutMs: 8_000,
    random: seededRandom(SEED),
    prefix: name.replaceAll(" ", "-"),
  });
  console.log(`\n${name}: ${rate} requests a second for ${durationMs} ms`);
  for (const kind of fleet.deployment.traffic) {
    console.log(`  ${formatResults(kind, samples)}`);
  }
}

function formatResults(
  { name, importance }: Deployment["traffic"][number],
  samples: Sample[],
): string {
  const sent = samples.filter((sample) => sample.name === name);
  const good = sent.filter(({ result }) => result === "good");
  const reasons = new Map<string, number>();
  for (const { result, reason } of sent) {
    if (result === "good") continue;
    const key = `${result} ${reason}`;
    reasons.set(key, (reasons.get(key) ?? 0) + 1);
  }
  const share = (100 * good.length / Math.max(1, sent.length)).toFixed(1);
  const failures = [...reasons].map(([reason, count]) => `${count} ${reason}`);
  return `${name} (${importance}): ${share}% good of ${sent.length}${
    failures.length > 0 ? `; ${failures.join(", ")}` : ""
  }`;
}
