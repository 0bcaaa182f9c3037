import { once } from "node:events";
import type { AppFault } from "../platform/standin/app_server.ts";
import type { StoreFault } from "../platform/standin/store.ts";
import type { Fault, FaultKind } from "./fault.ts";
import type { SoakState } from "./soak_state.ts";

type Handler = (state: SoakState, fault: Fault) => Promise<void>;

// Time that a daemon may take to exit after SIGTERM before it is killed.
const STOP_TIMEOUT_MS = 6_000;
const LINK_DELAY_MS = 120;

/** Injects a fault into one VM and removes it after the fault's duration. */
function temporaryFault(
  begin: (state: SoakState, vm: number) => void,
  end: (state: SoakState, vm: number) => void,
): Handler {
  return async (state, { vm, forMs }) => {
    const endDisturbance = state.recordDisturbance(vm);
    begin(state, vm);
    await state.sleep(forMs);
    end(state, vm);
    endDisturbance();
  };
}

function changeProxy(change: (proxy: SoakState["proxies"][number]) => void) {
  return (state: SoakState, vm: number) => change(state.proxies[vm]!);
}

function storeFault(fault: StoreFault): Handler {
  return async ({ site, sleep }, { forMs }) => {
    site.store.fault = fault;
    await sleep(forMs);
    site.store.fault = "none";
  };
}

function serverFault(fault: AppFault): Handler {
  return async ({ site, sleep }, { vm, forMs }) => {
    site.vms[vm]!.app.fault = fault;
    await sleep(forMs);
    site.vms[vm]!.app.fault = "none";
  };
}

/** Skips a fault if another one is stopping, pausing or starting the VM's daemon. */
const exclusive = (run: Handler): Handler => async (state, fault) => {
  if (state.busy.has(fault.vm)) return;
  state.busy.add(fault.vm);
  try {
    await run(state, fault);
  } finally {
    state.busy.delete(fault.vm);
  }
};

const waitForExit = async (state: SoakState, vm: number) => {
  const { daemon } = state.site.vms[vm]!;
  if (daemon.exitCode === null && daemon.signalCode === null) {
    await once(daemon, "exit");
  }
};

export const faultHandlers: Record<FaultKind, Handler> = {
  kill: exclusive(async (state, { vm, forMs }) => {
    const endDisturbance = state.recordDisturbance(vm);
    state.site.vms[vm]!.daemon.kill("SIGKILL");
    await waitForExit(state, vm);
    await state.sleep(forMs / 4);
    state.site.vms[vm]!.restart();
    endDisturbance();
  }),
  pause: exclusive(async (state, { vm, forMs }) => {
    const endDisturbance = state.recordDisturbance(vm);
    const { daemon } = state.site.vms[vm]!;
    daemon.kill("SIGSTOP");
    await state.sleep(forMs);
    daemon.kill("SIGCONT");
    endDisturbance();
  }),
  stop: exclusive(async (state, { vm }) => {
    const endDisturbance = state.recordDisturbance(vm, { planned: true });
    const { daemon } = state.site.vms[vm]!;
    daemon.kill("SIGTERM");
    const killer = setTimeout(() => daemon.kill("SIGKILL"), STOP_TIMEOUT_MS);
    await waitForExit(state, vm);
    clearTimeout(killer);
    state.site.vms[vm]!.restart();
    endDisturbance();
  }),
  async reload({ site }, { vm }) {
    const { daemon, lines, starts } = site.vms[vm]!;
    const started = lines.filter((line) => line.includes("event=started"));
    // SIGHUP ends a process that has not installed its handler yet.
    if (started.length === starts) daemon.kill("SIGHUP");
    await Promise.resolve();
  },
  delayLinks: temporaryFault(
    changeProxy((proxy) => proxy.delayMs = LINK_DELAY_MS),
    changeProxy((proxy) => proxy.delayMs = 0),
  ),
  cutOneWay: temporaryFault(
    changeProxy((proxy) => proxy.dropped = "in"),
    changeProxy((proxy) => proxy.dropped = "none"),
  ),
  silenceLinks: temporaryFault(
    changeProxy((proxy) => proxy.dropped = "both"),
    changeProxy((proxy) => proxy.dropped = "none"),
  ),
  resetLinks: temporaryFault(changeProxy((proxy) => proxy.reset()), () => {}),
  storeSilent: storeFault("silent"),
  storeBusy: storeFault("busy"),
  storeLosesAnswers: storeFault("lost"),
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
  serverLosesAnswers: serverFault("lost"),
  serverCutsAnswers: serverFault("cut"),
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
