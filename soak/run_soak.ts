import { setTimeout as sleep } from "node:timers/promises";
import { sendTo } from "../platform/standin/send_to.ts";
import { startSite } from "../platform/standin/start_site.ts";
import { seededRandom } from "../src/core/seeded_random.ts";
import type { Attempt } from "./attempt.ts";
import { faultHandlers } from "./fault_handlers.ts";
import { findViolations, type Runs } from "./find_violations.ts";
import { planFaults } from "./plan_faults.ts";
import type { SoakState } from "./soak_state.ts";
import { startProxy } from "./start_proxy.ts";

const MESH_PORT = 7620;
const STORE = { port: 8309, proxyPort: 8310 };
const SERVICES = ["front", "deep"];
const ZONES = ["a", "b"];
const READY_MS = 20_000;
const POLL_MS = 200;
const DEADLINE_MS = 2_500;
const STEP_MS = 20;
const MS_PER_S = 1_000;
// Time after the last fault within which all requests must be served again.
const RECOVERY_MS = 8_000;
const RECOVERED_SHARE = 0.95;
const RECOVERED_ROUNDS = 8;
const RECOVERED_TRIES = 5;
const NESTED_SHARE = 0.5;
const CLIENT_TIMEOUT_MS = 8_000;

/** Result of a soak run. */
export type SoakReport = {
  seed: number;
  violations: string[];
  requests: number;
  byStatus: Record<string, number>;
  faults: string[];
  /** Output of the daemons by VM, kept only if there were violations. */
  lines: Record<string, string[]>;
};

/** Runs one seed: a site of processes under load, with faults injected from outside. */
export async function runSoak(
  { seed, net, vmsPerService, forMs, faultsPerS, requestsPerS }: {
    seed: number;
    /** Second octet of the site's loopback addresses; sites that run at once need different ones. */
    net: number;
    vmsPerService: number;
    forMs: number;
    faultsPerS: number;
    requestsPerS: number;
  },
): Promise<SoakReport> {
  const random = seededRandom(seed);
  const vms = SERVICES.flatMap((service) =>
    Array.from({ length: vmsPerService }, (_, at) => ({
      zone: ZONES[at % ZONES.length]!,
      service,
    }))
  );
  const host = (at: number) => `127.${net}.0.${at + 1}`;
  const meshHost = (at: number) => `127.${net}.1.${at + 1}`;
  const storeHost = `127.${net}.0.200`;
  const proxies = await Promise.all(
    vms.map((_, at) =>
      startProxy({ host: meshHost(at), port: MESH_PORT }, {
        host: host(at),
        port: MESH_PORT,
      })
    ),
  );
  const storeProxy = await startProxy(
    { host: storeHost, port: STORE.proxyPort },
    { host: storeHost, port: STORE.port },
  );
  const site = await startSite({
    net,
    vms,
    storePort: STORE.proxyPort,
    meshHost,
  });
  let version = 1;
  const state: SoakState = {
    site,
    proxies,
    storeProxy,
    disturbances: [],
    departures: [],
    busy: new Set(),
    recordDisturbance(vm, { planned } = { planned: false }) {
      const disturbance = {
        vm,
        from: performance.now(),
        to: Infinity,
        planned,
      };
      state.disturbances.push(disturbance);
      return () => {
        disturbance.to = performance.now();
      };
    },
    canLeave(vm) {
      const { service } = vms[vm]!;
      const remaining = site.vms.filter(({ app }) =>
        app.service === service && !app.departed
      );
      return !site.vms[vm]!.app.departed &&
        remaining.length > vmsPerService / 2;
    },
    change: () => site.configure(++version),
    sleep: async (ms) => {
      await sleep(ms);
    },
  };
  const attempts: Attempt[] = [];
  const violations: string[] = [];
  let lagMs = 0;
  const ids = new Set<string>();
  try {
    site.configure(version);
    const service = () => SERVICES[Math.floor(random() * SERVICES.length)]!;
    const send = async (vm: number): Promise<Attempt> => {
      const once = random() < 0.5;
      const to = service();
      // A service that calls itself can deadlock on its own slots, see docs/platform.md.
      const nested = to === "front" && random() < NESTED_SHARE
        ? "?call=deep.example/safe/"
        : "";
      const sentAt = performance.now();
      const id = `s${ids.size + 1}`;
      ids.add(id);
      const clientTimeout = sleep(CLIENT_TIMEOUT_MS, null, { ref: false });
      const responded = sendTo(
        site.vms[vm]!.ip,
        `${to}.example`,
        `/${once ? "once" : "safe"}/${nested}`,
        {
          id,
          method: once ? "POST" : "GET",
          body: once ? "x".repeat(300) : "",
          deadlineMs: DEADLINE_MS,
        },
      );
      const response = await Promise.race([responded, clientTimeout]);
      const { status, body } = response ?? { status: 0, body: "" };
      return {
        id,
        vm,
        once,
        sentAt,
        endedAt: performance.now(),
        status,
        complete: body.startsWith(`${id} ${to} `),
        deadlineMs: DEADLINE_MS,
      };
    };
    const sendRound = async (count: number) => {
      const sent = await Promise.all(
        Array.from({ length: count }, (_, at) => send(at % vms.length)),
      );
      attempts.push(...sent);
      return sent.filter(({ status }) => status === 200).length / count;
    };
    const startedAt = performance.now();
    while (await sendRound(vms.length) < 1) {
      if (performance.now() - startedAt > READY_MS) {
        throw new Error("the site did not become ready in time");
      }
      await sleep(POLL_MS);
    }
    // Discards the attempts made while daemons were still starting.
    attempts.length = 0;
    const faults = planFaults(random, {
      vms: vms.length,
      forMs,
      perS: faultsPerS,
    });
    const begin = performance.now();
    const running = faults.map(async (fault) => {
      await sleep(fault.at);
      await faultHandlers[fault.kind](state, fault);
    });
    const pending: Promise<void>[] = [];
    const perStep = requestsPerS * STEP_MS / MS_PER_S;
    for (let due = 0; performance.now() - begin < forMs; due += perStep) {
      for (; due >= 1; due--) {
        const vm = Math.floor(random() * vms.length);
        pending.push(send(vm).then((attempt) => void attempts.push(attempt)));
      }
      const before = performance.now();
      await sleep(STEP_MS);
      lagMs = Math.max(lagMs, performance.now() - before - STEP_MS);
    }
    await Promise.all(running);
    await Promise.all(pending);

    state.change();
    await sleep(RECOVERY_MS);
    let served = 0;
    for (let tries = 0; tries < RECOVERED_TRIES; tries++) {
      served = 0;
      // One request per VM at a time stays below the slots of any server.
      for (let round = 0; round < RECOVERED_ROUNDS; round++) {
        served += await sendRound(vms.length) / RECOVERED_ROUNDS;
      }
      if (served >= RECOVERED_SHARE) break;
      await sleep(POLL_MS);
    }
    if (served < RECOVERED_SHARE) {
      violations.push(`only ${served} of the requests served after the faults`);
    }
    for (const vm of site.vms) {
      const newest = newestVersion(vm.lines);
      if (newest !== version) {
        violations.push(`${vm.name} has version ${newest} of ${version}`);
      }
    }
    violations.push(...findViolations({
      ids,
      attempts,
      runs: collectRuns(site.vms.map(({ app }) => app)),
      disturbances: state.disturbances,
      departures: state.departures,
      lagMs,
    }));
    const byStatus: Record<string, number> = {};
    for (const { status } of attempts) {
      byStatus[status] = (byStatus[status] ?? 0) + 1;
    }
    const lines = violations.length === 0
      ? []
      : site.vms.map(({ name, lines }) => [name, lines.filter(Boolean)]);
    return {
      seed,
      violations,
      requests: attempts.length,
      byStatus,
      faults: faults.map(({ kind, vm, at, forMs }) =>
        `${Math.round(at)} ms ${kind} vm-${vm + 1} for ${Math.round(forMs)} ms`
      ),
      lines: Object.fromEntries(lines),
    };
  } finally {
    await site.stop();
    for (const proxy of [...proxies, storeProxy]) proxy.close();
  }
}

type Apps = Awaited<ReturnType<typeof startSite>>["vms"][number]["app"][];

function collectRuns(apps: Apps): Map<string, Runs> {
  const all = new Map<string, Runs>();
  for (const [server, { runs, startedAt }] of apps.entries()) {
    for (const [id, count] of runs) {
      const before = all.get(id)?.count ?? 0;
      const lastAt = startedAt.get(id)!;
      all.set(id, { count: before + count, lastAt, server });
    }
  }
  return all;
}

/** Configuration version that a daemon applied last. */
function newestVersion(lines: readonly string[]): number {
  let newest = 0;
  for (const line of lines) {
    const found = /event=configuration-in-force version=(\d+)/.exec(line);
    if (found !== null) newest = Number(found[1]);
  }
  return newest;
}
