import test from "ava";
import { Pool } from "undici";
import type { Fleet } from "../fleet/fleet.ts";
import { Ports } from "../fleet/ports.ts";
import { sendRequest } from "../fleet/send_request.ts";
import { chainsDeployment } from "./support/chains_deployment.ts";
import { compareWithNaive } from "./support/compare_with_naive.ts";
import { membersOf } from "./support/members_of.ts";
import { readRuns } from "./support/read_runs.ts";
import { setModes } from "./support/set_modes.ts";
import { until } from "./support/until.ts";

const RETRIES = 3;
const MAX_RUNS = 1 + RETRIES;
const BRANCHES = ["a", "b", "c"];
const deployment = chainsDeployment({
  depths: [4, 12],
  branches: BRANCHES,
  retries: RETRIES,
});
const TARGETS = [
  { path: "/front/deep-4/0", leaves: ["/deep-4/3"] },
  { path: "/front/deep-12/0", leaves: ["/deep-12/11"] },
  { path: "/front/wide/0", leaves: BRANCHES.map((name) => `/wide/${name}-2`) },
];

/** Returns by target the highest run count of a leaf for one client request. */
async function attempts(
  fleet: Fleet,
  mode: "fail" | "lose",
): Promise<number[]> {
  await setModes(fleet, { mode });
  const pool = new Pool(
    `http://${membersOf(fleet, "daemon")[0]!.host}:${Ports.ingress}`,
  );
  const counts = TARGETS.map(async ({ path, leaves }) => {
    const key = `${mode}-${path.split("/")[2]}`;
    const most = () => {
      const runs = readRuns(fleet);
      return Math.max(...leaves.map((leaf) => runs.get(`${leaf} ${key}`) ?? 0));
    };
    let ended = false;
    const send = { method: "GET", path, key, timeoutMs: 30_000 };
    sendRequest(pool, send).then(() => ended = true);
    // Stops counting early, since the naive daemon makes millions of attempts at depth 12.
    await until(() => ended || most() > MAX_RUNS);
    return most();
  });
  try {
    return await Promise.all(counts);
  } finally {
    await pool.destroy();
  }
}

test.serial("retries do not multiply with depth, fan-out and lost responses", async (t) => {
  const options = { deployment, base: 81 };
  const { product, naive } = await compareWithNaive(options, async (fleet) => {
    const failed = await attempts(fleet, "fail");
    return [...failed, ...await attempts(fleet, "lose")];
  });
  t.log(JSON.stringify({ product, naive }));
  for (const count of product) t.true(count >= 1 && count <= MAX_RUNS);
  for (const count of naive) t.true(count > MAX_RUNS);
});
