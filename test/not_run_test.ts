import test from "ava";
import type { Fleet } from "../fleet/fleet.ts";
import { endMember } from "../fleet/end_member.ts";
import { sendBurst } from "./support/send_burst.ts";
import { compareWithNaive } from "./support/compare_with_naive.ts";
import { membersOf } from "./support/members_of.ts";
import { openIngress } from "./support/open_ingress.ts";
import { ordersDeployment } from "./support/orders_deployment.ts";
import { readRuns } from "./support/read_runs.ts";
import { setModes } from "./support/set_modes.ts";
import { settleServers } from "./support/settle_servers.ts";
import { until } from "./support/until.ts";

const deployment = ordersDeployment({
  dataCentres: ["one", "two"],
  slots: 20,
  workMs: 50,
});

/** A phase of the test; the fault is injected once requests of the phase run. */
type Phase = {
  name: string;
  count: number;
  before?: (fleet: Fleet) => Promise<void>;
  fault?: (fleet: Fleet) => Promise<unknown>;
  after?: (fleet: Fleet) => Promise<void>;
};

const first = (fleet: Fleet, kind: "daemon" | "server") =>
  membersOf(fleet, kind, "front")[0]!;
const second = (fleet: Fleet, kind: "daemon" | "server") =>
  membersOf(fleet, kind, "front")[1]!;
const stop = (member: ReturnType<typeof first>) =>
  Promise.resolve(member.process.kill("SIGSTOP"));

const PHASES: Phase[] = [
  {
    name: "shed",
    count: 40,
    before: (fleet) => setModes(fleet, { mode: "shed" }, "front"),
    after: (fleet) => setModes(fleet, { mode: "normal" }, "front"),
  },
  { name: "overload", count: 600 },
  {
    name: "pause",
    count: 60,
    fault: (fleet) => stop(first(fleet, "server")),
    after: (fleet) => resume(first(fleet, "server")),
  },
  {
    name: "kill-server",
    count: 60,
    fault: (fleet) => endMember(first(fleet, "server")),
  },
  {
    name: "kill-daemon-and-pause-server",
    count: 60,
    fault: (fleet) =>
      Promise.all([
        stop(second(fleet, "server")),
        endMember(second(fleet, "daemon")),
      ]),
    after: (fleet) => resume(second(fleet, "server")),
  },
];

function resume(member: ReturnType<typeof first>): Promise<void> {
  member.process.kill("SIGCONT");
  return Promise.resolve();
}

/** Returns the number of requests of a phase by result, and the rejected ones. */
async function runPhase(
  fleet: Fleet,
  { name, count, before, fault, after }: Phase,
): Promise<{ told: Record<string, number>; refused: string[] }> {
  // Callers use the daemons of the other service, which the faults don't affect.
  const pools = openIngress(fleet, "back");
  const servers = membersOf(fleet, "server", "front")
    .filter(({ process: { signalCode } }) => signalCode === null)
    .map(({ host }) => host);
  const limits = { timeoutMs: 4_000, deadlineMs: 1_500 };
  try {
    let round = 0;
    await until(async () => {
      const prefix = `before-${round += 1}-${name}`;
      const probes = await sendBurst({ ...limits, pools, prefix, count: 8 });
      return probes.every(({ result }) => result === "good") &&
        servers.every((host) => hasRun(fleet, host, prefix));
    });
    await before?.(fleet);
    const sent = sendBurst({ ...limits, pools, prefix: name, count });
    if (fault !== undefined) {
      let ended = false;
      sent.then(() => ended = true);
      await until(() =>
        ended || servers.every((host) => hasRun(fleet, host, name))
      );
      await fault(fleet);
    }
    const samples = await sent;
    await after?.(fleet);
    const told: Record<string, number> = {};
    for (const { result } of samples) told[result] = (told[result] ?? 0) + 1;
    const refused = samples.filter(({ result }) => result === "not-run")
      .map(({ run }) => run);
    return { told, refused };
  } finally {
    await Promise.all(pools.map((pool) => pool.destroy()));
  }
}

function hasRun(fleet: Fleet, host: string, prefix: string): boolean {
  return [...readRuns(fleet, host).keys()]
    .some((run) => run.startsWith(`/order ${prefix}-`));
}

test.serial("not-run is never reported for a request that ran", async (t) => {
  const options = { deployment, base: 85 };
  const { product, naive } = await compareWithNaive(options, async (fleet) => {
    const phases = [];
    for (const phase of PHASES) phases.push(await runPhase(fleet, phase));
    await settleServers(fleet);
    const runs = readRuns(fleet);
    const refused = phases.flatMap(({ refused }) => refused);
    return {
      told: phases.map(({ told }) => told),
      refused: refused.length,
      false: refused.filter((run) => runs.has(run)),
      ran: runs.size,
    };
  });
  t.log(JSON.stringify({ product, naive }));
  t.true(product.refused > 0 && product.ran > 0);
  t.true(product.told.some(({ unknown }) => unknown !== undefined));
  t.deepEqual(product.false, []);
  t.true(naive.false.length > 0);
});
