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

const SWEEP_MS = 1_000;
const POOL_SWEEP_MS = 10_000;
/**
 * At one round a second, exchanges with their HTTP and TCP headers came to 3.5
 * KB/s a daemon in both directions; new rules and leaving daemons do not wait
 * for a round, because they are pushed.
 */
const GOSSIP_MS = 2_000;
/** Rounds while there is news to spread or a suspicion to settle. */
const URGENT_GOSSIP_MS = 1_000;
/** Each tick ranks the daemons of the data centre to find the pollers. */
const RULES_TICK_MS = 1_000;
const BOOTSTRAP_MS = 60_000;
const BOOTSTRAP_RETRY_MS = 5_000;

/** Starts the periodic work of a daemon; returns what ends it. */
export function startTimers(parts: DependencyContainer): () => void {
  const clock = parts.resolve(ContainerToken.clock);
  const relay = parts.resolve(ContainerToken.relay);
  const directory = parts.resolve(ContainerToken.directory);
  const random = parts.resolve(ContainerToken.random);
  const gossiper = parts.resolve(ContainerToken.gossiper);
  const keeper = parts.resolve(ContainerToken.keeper);
  const timers = [
    setInterval(() => sweepResends(relay.resends, clock()), SWEEP_MS),
    setInterval(() => {
      sweepPools(relay, (address) => directory.members.has(address));
    }, POOL_SWEEP_MS),
    setInterval(() => {
      sweepObservations(relay.routing, clock());
      sweepShedding(relay.shedding, clock());
    }, SWEEP_MS),
    setInterval(() => sweepLedger(relay.ledger, clock()), SWEEP_MS),
    // A round that waits for a silent partner takes longer than the gap by
    // which the directory recognizes a pause of this process.
    setInterval(() => tick(directory, clock()), SWEEP_MS),
    setInterval(() => keeper.tick(), RULES_TICK_MS),
    setInterval(createWeightUpdater(parts), SWEEP_MS),
  ];
  // Jitter keeps daemons that started together from acting in step.
  const rounds = repeat(() =>
    gossiper.round().then(() => gossipMs(directory) * (0.9 + 0.2 * random()))
  );
  const pulse = startDataPathTimer(parts);
  const bootstrap = repeat(() => refreshSeeds(parts));
  return () => {
    for (const timer of timers) clearInterval(timer);
    pulse();
    rounds();
    bootstrap();
  };
}

function gossipMs(
  { updates: news, suspicionDeadlines: suspects }: Directory,
): number {
  return news.size + suspects.size > 0 ? URGENT_GOSSIP_MS : GOSSIP_MS;
}

/** Passes weights of departments on to admission control when rules change. */
function createWeightUpdater(parts: DependencyContainer): () => void {
  const rules = parts.resolve(ContainerToken.rules);
  const relay = parts.resolve(ContainerToken.relay);
  let sequence = 0;
  return () => {
    const { admission, server } = relay;
    const unchanged = sequence === rules.record.sequence;
    if (admission === null || server === null || unchanged) return;
    sequence = rules.record.sequence;
    setWeights(admission, departmentWeights(rules, server.service));
  };
}

/** Reads and keeps the bootstrap rows; returns when to do it again, in ms. */
async function refreshSeeds(parts: DependencyContainer): Promise<number> {
  const { stores } = parts.resolve(ContainerToken.platform);
  if (stores === null) return BOOTSTRAP_MS;
  const directory = parts.resolve(ContainerToken.directory);
  const found = await refreshBootstrap(
    { table: stores.table, directory },
    Date.now(),
    parts.resolve(ContainerToken.clock)(),
  );
  // Jitter spreads the reads of daemons that all wait for the store.
  const retryMs = BOOTSTRAP_RETRY_MS *
    (1 + parts.resolve(ContainerToken.random)());
  if (found === null) return retryMs;
  const { peers } = parts.resolve(ContainerToken.settings).daemon;
  parts.resolve(ContainerToken.seeds).addresses = [
    ...new Set([...peers, ...found]),
  ];
  return directory.members.size > 1 ? BOOTSTRAP_MS : retryMs;
}

/** Runs work again and again, each time the returned ms after it has ended. */
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
