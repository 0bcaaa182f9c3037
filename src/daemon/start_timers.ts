import type { DependencyContainer } from "tsyringe";
import { setWeights } from "../admission/set_weights.ts";
import { sweepLedger } from "../execution/sweep_ledger.ts";
import { refreshBootstrap } from "../membership/refresh_bootstrap.ts";
import { tick } from "../membership/tick.ts";
import type { Directory } from "../membership/directory.ts";
import { sweepPools } from "../relay/sweep_pools.ts";
import { sweepResends } from "../retries/sweep_resends.ts";
import { departmentWeights } from "../rules/department_weights.ts";
import { sweepObservations } from "../routing/sweep_observations.ts";
import { sweepShedding } from "../shedding/sweep_shedding.ts";
import { startDataPathTimer } from "./start_data_path_timer.ts";
import { ContainerToken } from "./container_token.ts";

const SWEEP_INTERVAL_MS = 1_000;
const POOL_SWEEP_INTERVAL_MS = 10_000;
/**
 * Interval of gossip rounds. At one round a second, exchanges including HTTP
 * and TCP headers took 3.5 KB/s per daemon in both directions. New rules and
 * leaving daemons are pushed and do not wait for a round.
 */
const GOSSIP_INTERVAL_MS = 2_000;
/** Interval while there are updates to spread or suspected members to verify. */
const URGENT_GOSSIP_INTERVAL_MS = 1_000;
/** Each tick ranks the daemons of the data centre to select those that poll. */
const RULES_TICK_MS = 1_000;
const BOOTSTRAP_INTERVAL_MS = 60_000;
/** Before jitter, which at most doubles it. */
const MIN_BOOTSTRAP_RETRY_MS = 5_000;

/** Starts the periodic work of a daemon; returns a function that stops it. */
export function startTimers(container: DependencyContainer): () => void {
  const clock = container.resolve(ContainerToken.clock);
  const relay = container.resolve(ContainerToken.relay);
  const directory = container.resolve(ContainerToken.directory);
  const random = container.resolve(ContainerToken.random);
  const gossiper = container.resolve(ContainerToken.gossiper);
  const updater = container.resolve(ContainerToken.rulesUpdater);
  const timers = [
    setInterval(() => sweepResends(relay.resends, clock()), SWEEP_INTERVAL_MS),
    setInterval(() => {
      sweepPools(relay, (address) => directory.members.has(address));
    }, POOL_SWEEP_INTERVAL_MS),
    setInterval(() => {
      sweepObservations(relay.routing, clock());
      sweepShedding(relay.shedding, clock());
    }, SWEEP_INTERVAL_MS),
    setInterval(() => sweepLedger(relay.ledger, clock()), SWEEP_INTERVAL_MS),
    // Separate from gossip rounds: one that waits for an unresponsive partner
    // takes longer than the gap by which the directory detects a pause of this
    // process.
    setInterval(() => tick(directory, clock()), SWEEP_INTERVAL_MS),
    setInterval(() => updater.tick(), RULES_TICK_MS),
    setInterval(createWeightUpdater(container), SWEEP_INTERVAL_MS),
  ];
  // Jitter keeps daemons that started together from synchronizing their rounds.
  const stopGossip = repeat(() =>
    gossiper.round().then(() =>
      gossipIntervalMs(directory) * (0.9 + 0.2 * random())
    )
  );
  const stopDataPath = startDataPathTimer(container);
  const stopBootstrap = repeat(() => refreshSeeds(container));
  return () => {
    for (const timer of timers) clearInterval(timer);
    stopDataPath();
    stopGossip();
    stopBootstrap();
  };
}

function gossipIntervalMs(
  { updates, suspicionDeadlines }: Directory,
): number {
  return updates.size + suspicionDeadlines.size > 0
    ? URGENT_GOSSIP_INTERVAL_MS
    : GOSSIP_INTERVAL_MS;
}

/**
 * Returns a function that applies department weights after a change of rules.
 */
function createWeightUpdater(container: DependencyContainer): () => void {
  const rules = container.resolve(ContainerToken.rules);
  const relay = container.resolve(ContainerToken.relay);
  let sequence = 0;
  return () => {
    const { admission, server } = relay;
    const unchanged = sequence === rules.record.sequence;
    if (admission === null || server === null || unchanged) return;
    sequence = rules.record.sequence;
    setWeights(admission, departmentWeights(rules, server.service));
  };
}

/**
 * Reads and renews the bootstrap rows; returns the delay until the next run, in
 * ms.
 */
async function refreshSeeds(
  container: DependencyContainer,
): Promise<number> {
  const { stores } = container.resolve(ContainerToken.platform);
  if (stores === null) return BOOTSTRAP_INTERVAL_MS;
  const directory = container.resolve(ContainerToken.directory);
  const found = await refreshBootstrap(
    { table: stores.table, directory },
    Date.now(),
    container.resolve(ContainerToken.clock)(),
  );
  // Jitter spreads the reads of daemons that all wait for the store.
  const retryMs = MIN_BOOTSTRAP_RETRY_MS *
    (1 + container.resolve(ContainerToken.random)());
  if (found === null) return retryMs;
  const { peers } = container.resolve(ContainerToken.settings).daemon;
  container.resolve(ContainerToken.seeds).addresses = [
    ...new Set([...peers, ...found]),
  ];
  return directory.members.size > 1 ? BOOTSTRAP_INTERVAL_MS : retryMs;
}

/**
 * Runs `work` repeatedly, each time the returned number of ms after the last
 * run.
 */
function repeat(work: () => Promise<number>): () => void {
  let stopped = false;
  let timer: NodeJS.Timeout | undefined;
  const run = async () => {
    const delay = await work();
    if (!stopped) timer = setTimeout(run, delay);
  };
  run();
  return () => {
    stopped = true;
    clearTimeout(timer);
  };
}
