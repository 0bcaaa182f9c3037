import { execFileSync } from "node:child_process";
import process from "node:process";
import { ulaanbaatar } from "../deployments/ulaanbaatar.ts";
import { vitiLevu } from "../deployments/viti_levu.ts";
import type { Fleet } from "../fleet/fleet.ts";
import { getJson } from "../fleet/get_json.ts";
import { Ports } from "../fleet/ports.ts";
import { runLoad } from "../fleet/run_load.ts";
import { startFleet } from "../fleet/start_fleet.ts";
import { stopFleet } from "../fleet/stop_fleet.ts";
import { seededRandom } from "../src/core/seeded_random.ts";
import { goodputOf } from "./goodput_of.ts";
import { reasonsOf } from "./reasons_of.ts";
import { versions } from "./versions.ts";

// Goodput of whole requests at multiples of capacity, by importance.
// Usage: npm run bench -- goodput [deployment] [version,…] [multiple,…]
const CAPACITY_PER_S = 300;
const DURATION_MS = 8_000;
const SETTLE_MS = 3_000;
const PAUSE_MS = 3_000;
const deployments = { "viti-levu": vitiLevu, ulaanbaatar };

const [
  name = "viti-levu",
  chosen = "nutmegmoor,naive",
  multiples = "0.5,1,1.5,2,3,5",
] = process.argv.slice(3);
const deployment = deployments[name as keyof typeof deployments];

execFileSync("node", ["scripts/build.mjs"]);
for (const version of chosen.split(",")) await measure(version);

type Status = Record<"service" | "limit" | "queued" | "level", unknown>;

/** Prints what admission control of each server does under the load. */
async function printAdmission(fleet: Fleet): Promise<void> {
  const daemons = fleet.members.filter(({ kind }) => kind === "daemon");
  const statuses = await Promise.all(
    daemons.map(({ host }) =>
      getJson<Status>(`http://${host}:${Ports.local}/-/status`)
    ),
  );
  const lines = statuses.map(({ service, limit, queued, level }) =>
    `${service} ${limit}/${queued}/${level}`
  );
  console.log(`    limit/queued/level: ${lines.sort().join(", ")}`);
}

async function measure(version: string): Promise<void> {
  const fleet = await startFleet({
    deployment,
    base: 61,
    program: versions[version]!,
  });
  const targets = fleet.members.filter(({ kind }) => kind === "daemon")
    .map(({ host }) => `${host}:${Ports.ingress}`);
  console.log(`\n${version}, ${name}, capacity ${CAPACITY_PER_S} a second`);
  console.log("multiple | whole a second | critical | normal | sheddable");
  try {
    for (const multiple of multiples.split(",").map(Number)) {
      setTimeout(() => printAdmission(fleet), DURATION_MS - 1_000);
      const samples = await runLoad({
        targets,
        traffic: deployment.traffic,
        rate: () => multiple * CAPACITY_PER_S,
        durationMs: DURATION_MS,
        resends: 2,
        timeoutMs: 8_000,
        random: seededRandom(1),
        prefix: `${version}-${multiple}`,
      });
      const span = { from: SETTLE_MS, to: DURATION_MS };
      const { perSecond, shares } = goodputOf(samples, span);
      const share = (key: string) => `${(100 * shares[key]!).toFixed(1)}%`;
      console.log(
        `${multiple} | ${perSecond.toFixed(0)} | ${share("critical")} | ${
          share("normal")
        } | ${share("sheddable")}`,
      );
      console.log(`    ${reasonsOf(samples)}`);
      await new Promise((resolve) => setTimeout(resolve, PAUSE_MS));
    }
  } finally {
    await stopFleet(fleet);
  }
}
