import { mkdtempSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import process from "node:process";
import { startFleet } from "../../fleet/start_fleet.ts";
import { stopFleet } from "../../fleet/stop_fleet.ts";
import { sendBurst } from "../support/send_burst.ts";
import { membersOf } from "../support/members_of.ts";
import { openIngress } from "../support/open_ingress.ts";
import { ordersDeployment } from "../support/orders_deployment.ts";
import { placeOrders } from "../support/place_orders.ts";
import { setModes } from "../support/set_modes.ts";
import { buildRecorder } from "./build_recorder.ts";

// Records a new trace of one daemon's decisions under failures and overload:
// node --import=tsx test/record/main.ts
const directory = mkdtempSync(join(tmpdir(), "nutmegmoor-record-"));
const program = join(directory, "recorder.cjs");
const trace = join(directory, "trace");
process.env.NUTMEGMOOR_TRACE = trace;
await buildRecorder(program);
const fleet = await startFleet({
  deployment: ordersDeployment({
    dataCentres: ["one", "two"],
    slots: 6,
    workMs: 20,
  }),
  base: 91,
  program: [program],
});
try {
  const pools = openIngress(fleet);
  const limits = { pools, timeoutMs: 3_000, deadlineMs: 300 };
  await sendBurst({ ...limits, prefix: "calm", count: 12 });
  await sendBurst({ ...limits, prefix: "surge", count: 120 });
  await setModes(fleet, { mode: "lose" });
  const lost = { ...limits, prefix: "lost", count: 10, sends: 2 };
  await placeOrders({ ...lost, memory: new Map() });
  // Alternates between failures and normal operation, so that daemons are ejected
  // and probed.
  for (let round = 0; round < 20; round++) {
    await setModes(fleet, { mode: round % 10 < 5 ? "lose" : "normal" });
    await sendBurst({ ...limits, prefix: `lost-${round}`, count: 4 });
  }
  await setModes(fleet, { mode: "normal" });
  await sendBurst({ ...limits, prefix: "after", count: 40 });
  const { pid } = membersOf(fleet, "daemon", "front")[0]!.process;
  const text = readFileSync(`${trace}.${pid}`, "utf8");
  writeFileSync("test/traces/decisions.jsonl", text);
  await Promise.all(pools.map((pool) => pool.destroy()));
} finally {
  await stopFleet(fleet);
  rmSync(directory, { recursive: true, force: true });
}
