import test from "ava";
import { Pool } from "undici";
import type { Fleet } from "../fleet/fleet.ts";
import { endMember } from "../fleet/end_member.ts";
import { getJson } from "../fleet/get_json.ts";
import { Ports } from "../fleet/ports.ts";
import { startDaemon } from "../fleet/start_daemon.ts";
import { compareWithNaive } from "./support/compare_with_naive.ts";
import { membersOf } from "./support/members_of.ts";
import { openIngress } from "./support/open_ingress.ts";
import { ordersDeployment } from "./support/orders_deployment.ts";
import { placeOrders } from "./support/place_orders.ts";
import { readRuns } from "./support/read_runs.ts";
import { setModes } from "./support/set_modes.ts";
import { settleServers } from "./support/settle_servers.ts";
import { startTcpRelay } from "./support/start_tcp_relay.ts";
import { until } from "./support/until.ts";

const COUNT = 10;
/** Delay of each run, which keeps requests in flight until the fault is injected. */
const DELAY_MS = 200;
const LIMITS = { count: COUNT, sends: 3, timeoutMs: 1_200, deadlineMs: 800 };
const deployment = ordersDeployment({
  dataCentres: ["one", "two"],
  slots: 100,
  workMs: 50,
});

/** A fault that is injected once orders of the same phase run at the first server. */
type Fault = {
  name: string;
  mode?: "fail" | "lose";
  fault?: (fleet: Fleet) => unknown;
  /** Removes the fault; the same orders are then sent again. */
  end?: (fleet: Fleet) => unknown;
};

const FAULTS: Fault[] = [
  { name: "failed", mode: "fail" },
  { name: "lost", mode: "lose" },
  {
    name: "paused-daemon",
    fault: (fleet) => front(fleet, "daemon").process.kill("SIGSTOP"),
    end: (fleet) => front(fleet, "daemon").process.kill("SIGCONT"),
  },
  {
    name: "killed-daemon",
    fault: (fleet) => endMember(front(fleet, "daemon")),
    end: restart,
  },
  {
    name: "paused-server-and-killed-daemon",
    fault(fleet) {
      front(fleet, "server").process.kill("SIGSTOP");
      return endMember(front(fleet, "daemon"));
    },
    end(fleet) {
      front(fleet, "server").process.kill("SIGCONT");
      return restart(fleet);
    },
  },
];

function front(fleet: Fleet, kind: "daemon" | "server") {
  return membersOf(fleet, kind, "front")[0]!;
}

/** Restarts the killed daemon as a new process on the same address. */
async function restart(fleet: Fleet): Promise<void> {
  const old = front(fleet, "daemon");
  const peers = membersOf(fleet, "daemon").map(({ host }) => host)
    .filter((host) => host !== old.host);
  const { log, keys: { publicKey } } = fleet;
  const daemon = await startDaemon({ ...fleet, ...old, log, peers, publicKey });
  fleet.members.splice(fleet.members.indexOf(old), 1, daemon);
}

/** Returns the highest run count of any order or any nested hold. */
function mostRuns(fleet: Fleet, name: string): number {
  const runs = [...readRuns(fleet)].filter(([run]) =>
    run.includes(` ${name}-`)
  );
  return Math.max(0, ...runs.map(([, count]) => count));
}

function hasRun(fleet: Fleet, host: string, name: string): boolean {
  return [...readRuns(fleet, host).keys()]
    .some((run) => run.startsWith(`/order ${name}-`));
}

async function underFault(
  fleet: Fleet,
  { name, mode, fault, end }: Fault,
): Promise<number> {
  const pools = openIngress(fleet, "back");
  const { host } = front(fleet, "server");
  const memory = new Map();
  let round = 0;
  const place = (prefix: string) =>
    Promise.all(
      [pools, pools.toReversed()].map((pools, side) =>
        placeOrders({ ...LIMITS, pools, prefix: `${prefix}-${side}`, memory })
      ),
    );
  try {
    await until(async () => {
      const sent = await place(`before-${round += 1}-${name}`);
      return sent.flat().every(isGood);
    });
    await setModes(fleet, { mode, delayMs: DELAY_MS });
    // Load balancing may route a round of orders to other servers than the one that
    // is to fail.
    let sent: Promise<unknown> = Promise.resolve();
    await until(async () => {
      let ended = false;
      const prefix = `${name}-${round += 1}`;
      sent = place(prefix).then(() => ended = true);
      await until(() => ended || hasRun(fleet, host, prefix));
      return !ended;
    });
    await fault?.(fleet);
    await sent;
    await end?.(fleet);
    await setModes(fleet, { mode: "normal" });
    await place(`${name}-${round}`);
    await settleServers(fleet);
    return mostRuns(fleet, name);
  } finally {
    await Promise.all(pools.map((pool) => pool.destroy()));
  }
}

function isGood({ result }: { result: string }): boolean {
  return result === "good";
}

/** Drops the traffic between callers and their daemon; they resend to another one. */
async function underCut(fleet: Fleet): Promise<number> {
  const [first, second] = membersOf(fleet, "daemon", "back");
  const host = fleet.platform.replace(/1$/, "9");
  const at = { host, port: Ports.ingress };
  const to = { host: first!.host, port: Ports.ingress };
  const relay = await startTcpRelay(at, to);
  const pools = [at.host, second!.host].map((host) =>
    new Pool(`http://${host}:${Ports.ingress}`)
  );
  try {
    await setModes(fleet, { delayMs: DELAY_MS }, "front");
    const memory = new Map();
    const sent = placeOrders({ ...LIMITS, pools, prefix: "cut", memory });
    await until(() => mostRuns(fleet, "cut") > 0);
    relay.cut();
    await sent;
    await setModes(fleet, { mode: "normal" });
    await settleServers(fleet);
    return mostRuns(fleet, "cut");
  } finally {
    relay.close();
    await Promise.all(pools.map((pool) => pool.destroy()));
  }
}

/** Sends orders with an `Idempotency-Key` while the table service fails. */
async function byKey(fleet: Fleet): Promise<Record<string, number>> {
  const pools = openIngress(fleet);
  const control = `http://${fleet.platform}:${Ports.tableService}/-/control`;
  const send = async (prefix: string, mode: string, count = LIMITS.count) => {
    const own = { ...LIMITS, prefix, count, byKey: true };
    await getJson(control, { mode });
    await placeOrders({ ...own, pools, memory: new Map() });
    await getJson(control, { mode: "up" });
    // Two callers send the same keys concurrently once the service has recovered.
    await Promise.all(
      [pools, pools.toReversed()].map((pools) =>
        placeOrders({ ...own, pools, memory: new Map() })
      ),
    );
    await settleServers(fleet);
    return mostRuns(fleet, prefix);
  };
  try {
    return {
      "key-down": await send("key-down", "down"),
      "key-lost": await send("key-lost", "lose-response"),
    };
  } finally {
    await Promise.all(pools.map((pool) => pool.destroy()));
  }
}

test.serial("an order runs at most once under each fault", async (t) => {
  const options = { deployment, base: 87 };
  const { product, naive } = await compareWithNaive(options, async (fleet) => {
    const counts = await byKey(fleet);
    counts.cut = await underCut(fleet);
    for (const fault of FAULTS) {
      counts[fault.name] = await underFault(fleet, fault);
    }
    return counts;
  });
  t.log({ product, naive });
  for (const [name, count] of Object.entries(product)) t.is(count, 1, name);
  for (const [name, count] of Object.entries(naive)) t.true(count > 1, name);
});
