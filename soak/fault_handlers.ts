import { once } from "node:events";
import type { AppFault } from "../platform/standin/app_server.ts";
import type { StoreFault } from "../platform/standin/store.ts";
import type { Fault, FaultKind } from "./fault.ts";
import type { SoakState } from "./soak_state.ts";

type Handler = (state: SoakState, fault: Fault) => Promise<void>;

// How long a daemon may take to end after SIGTERM before it is killed.
const GRACE_MS = 6_000;
const DELAY_MS = 120;

/** Disturbs one VM for a while and undoes it. */
function forAWhile(
  begin: (state: SoakState, vm: number) => void,
  end: (state: SoakState, vm: number) => void,
): Handler {
  return async (state, { vm, forMs }) => {
    const over = state.recordDisturbance(vm);
    begin(state, vm);
    await state.sleep(forMs);
    end(state, vm);
    over();
  };
}

function links(change: (proxy: SoakState["proxies"][number]) => void) {
  return (state: SoakState, vm: number) => change(state.proxies[vm]!);
}

function store(fault: StoreFault): Handler {
  return async ({ site, sleep }, { forMs }) => {
    site.store.fault = fault;
    await sleep(forMs);
    site.store.fault = "none";
  };
}

function server(fault: AppFault): Handler {
  return async ({ site, sleep }, { vm, forMs }) => {
    site.vms[vm]!.app.fault = fault;
    await sleep(forMs);
    site.vms[vm]!.app.fault = "none";
  };
}

/** One process of a VM is started or ended at a time. */
const exclusive = (run: Handler): Handler => async (state, fault) => {
  if (state.busy.has(fault.vm)) return;
  state.busy.add(fault.vm);
  try {
    await run(state, fault);
  } finally {
    state.busy.delete(fault.vm);
  }
};

const ended = async (state: SoakState, vm: number) => {
  const { daemon } = state.site.vms[vm]!;
  if (daemon.exitCode === null && daemon.signalCode === null) {
    await once(daemon, "exit");
  }
};

export const faultHandlers: Record<FaultKind, Handler> = {
  kill: exclusive(async (state, { vm, forMs }) => {
    const over = state.recordDisturbance(vm);
    state.site.vms[vm]!.daemon.kill("SIGKILL");
    await ended(state, vm);
    await state.sleep(forMs / 4);
    state.site.vms[vm]!.restart();
    over();
  }),
  pause: exclusive(async (state, { vm, forMs }) => {
    const over = state.recordDisturbance(vm);
    const { daemon } = state.site.vms[vm]!;
    daemon.kill("SIGSTOP");
    await state.sleep(forMs);
    daemon.kill("SIGCONT");
    over();
  }),
  stop: exclusive(async (state, { vm }) => {
    const over = state.recordDisturbance(vm, { planned: true });
    const { daemon } = state.site.vms[vm]!;
    daemon.kill("SIGTERM");
    const killer = setTimeout(() => daemon.kill("SIGKILL"), GRACE_MS);
    await ended(state, vm);
    clearTimeout(killer);
    state.site.vms[vm]!.restart();
    over();
  }),
  async reload({ site }, { vm }) {
    const { daemon, lines, starts } = site.vms[vm]!;
    const started = lines.filter((line) => line.includes("event=started"));
    // Before the runtime is up, any signal ends a process.
    if (started.length === starts) daemon.kill("SIGHUP");
    await Promise.resolve();
  },
  delayLinks: forAWhile(
    links((proxy) => proxy.delayMs = DELAY_MS),
    links((proxy) => proxy.delayMs = 0),
  ),
  cutOneWay: forAWhile(
    links((proxy) => proxy.dropped = "in"),
    links((proxy) => proxy.dropped = "none"),
  ),
  silenceLinks: forAWhile(
    links((proxy) => proxy.dropped = "both"),
    links((proxy) => proxy.dropped = "none"),
  ),
  resetLinks: forAWhile(links((proxy) => proxy.reset()), () => {}),
  storeSilent: store("silent"),
  storeBusy: store("busy"),
  storeLosesAnswers: store("lost"),
  async storeForgets({ site }) {
    site.store.compact();
    await Promise.resolve();
  },
  async storeCut({ storeProxy, sleep }, { forMs }) {
    storeProxy.dropped = "both";
    await sleep(forMs);
    storeProxy.dropped = "none";
    storeProxy.reset();
  },
  serverLosesAnswers: server("lost"),
  serverCutsAnswers: server("cut"),
  async serverLeaves(state, { vm }) {
    if (!state.canLeave(vm)) return;
    const { app } = state.site.vms[vm]!;
    app.departed = true;
    const status = await app.deregister();
    if (status === 200) {
      state.departures.push({ server: vm, acknowledgedAt: performance.now() });
    }
  },
  async change(state) {
    state.change();
    await Promise.resolve();
  },
};
