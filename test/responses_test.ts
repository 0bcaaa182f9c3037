import test from "ava";
import type { Pool } from "undici";
import type { Fleet } from "../fleet/fleet.ts";
import type { Sample } from "../fleet/sample.ts";
import { sendRequest } from "../fleet/send_request.ts";
import type { Control } from "../standin/server/control.ts";
import { compareWithNaive } from "./support/compare_with_naive.ts";
import { membersOf } from "./support/members_of.ts";
import { openIngress } from "./support/open_ingress.ts";
import { ordersDeployment } from "./support/orders_deployment.ts";
import { readRuns } from "./support/read_runs.ts";
import { setModes } from "./support/set_modes.ts";
import { until } from "./support/until.ts";

const REQUESTS = 60;
const deployment = ordersDeployment({
  dataCentres: ["one", "two"],
  slots: 100,
  workMs: 2,
});
const CASES = [
  { service: "front", mode: "truncate" },
  { service: "front", mode: "reorder" },
  { service: "front", mode: "mismatch" },
  { service: "back", mode: "truncate" },
  { service: "back", mode: "reorder" },
] as const;

function sendAll(
  pools: Pool[],
  prefix: string,
  timeoutMs = 20_000,
): Promise<Pick<Sample, "result" | "reason">[]> {
  const sends = Array.from(
    { length: REQUESTS },
    (_, number) =>
      sendRequest(pools[number % pools.length]!, {
        method: "GET",
        path: "/front/view/page",
        key: `${prefix}-${number}`,
        timeoutMs,
      }),
  );
  return Promise.all(sends);
}

/** Counts wrong or incomplete responses that were accepted as complete. */
async function accepted(
  fleet: Fleet,
  pools: Pool[],
  { service, mode }: { service: string; mode: Control["mode"] },
): Promise<number> {
  const prefix = `${service}-${mode}`;
  await setModes(fleet, { mode }, service);
  const samples = await sendAll(pools, prefix);
  await setModes(fleet, { mode: "normal" }, service);
  await until(async () =>
    (await sendAll(pools, `${prefix}-after`)).some(isGood)
  );
  const nested = [...readRuns(fleet).keys()]
    .filter((line) => line.startsWith("wrong ") && line.includes(prefix));
  const wrong = samples.filter(({ result }) => result === "wrong").length;
  // A response with another attempt's id must be rejected even if its body is right.
  return wrong + nested.length +
    (mode === "mismatch" ? samples.filter(isGood).length : 0);
}

/** Counts wrong responses after requests to a paused server timed out. */
async function late(fleet: Fleet, pools: Pool[]): Promise<number> {
  const [server] = membersOf(fleet, "server", "front");
  server!.process.kill("SIGSTOP");
  const before = await sendAll(pools, "paused", 300);
  server!.process.kill("SIGCONT");
  const after = await sendAll(pools, "resumed");
  return [...before, ...after].filter(({ result }) => result === "wrong")
    .length;
}

function isGood({ result }: Pick<Sample, "result">): boolean {
  return result === "good";
}

test.serial("truncated, mismatched, late and reordered responses reach no caller", async (t) => {
  const options = { deployment, base: 83 };
  const { product, naive } = await compareWithNaive(options, async (fleet) => {
    const pools = openIngress(fleet);
    try {
      t.true((await sendAll(pools, "normal")).every(isGood));
      const counts = [];
      for (const each of CASES) {
        counts.push(await accepted(fleet, pools, each));
      }
      return { counts, late: await late(fleet, pools) };
    } finally {
      await Promise.all(pools.map((pool) => pool.destroy()));
    }
  });
  t.log(JSON.stringify({ product, naive }));
  t.deepEqual(product, { counts: CASES.map(() => 0), late: 0 });
  for (const count of naive.counts) t.true(count > 0);
});
