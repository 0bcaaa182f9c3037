import type { Logger } from "../core/logger.ts";
import type { Mesh } from "../mesh/mesh.ts";
import { isWatcher } from "./is_watcher.ts";
import type { RowStore } from "./row_store.ts";
import type { Ticker } from "./ticker.ts";
import { watchTable } from "./watch_table.ts";

// Longest time that one call to the store waits for a change. A connection
// that goes silent shows only when the call is overdue, and a configuration
// must be in force two seconds after the store is back.
const WATCH_MS = 1_500;
// A watcher tells its neighbours this often which version is the newest.
const CONFIRM_MS = 300;
// Without such news for this long, a daemon asks the store itself: half of the
// two seconds in which a configuration must be in force.
const CONFIRMED_MS = 900;
const CHECK_MS = 100;
const ASK_PEERS_MS = 300;

/**
 * Keeps the configuration up to date. A few daemons of each data centre watch
 * the store and hand what they read to the others, which watch it themselves
 * only while they hear nothing.
 */
export function watchConfiguration(
  {
    name,
    dataCentre,
    store,
    row,
    mesh,
    version,
    ticker,
    steadyTime,
    log,
    onChange,
  }: {
    name: string;
    dataCentre: string;
    store: RowStore;
    /** Table and key of the configuration. */
    row: { table: string; key: string };
    mesh: Mesh;
    /** Version of the configuration in force, 0 for none. */
    version: () => number;
    ticker: Ticker;
    steadyTime: () => number;
    log: Logger;
    /** The store's row was read. */
    onChange: (bytes: Buffer) => void;
  },
): {
  /** A watcher has confirmed the version in force. */
  confirm: () => void;
  storeReachable: () => boolean;
  /**
   * Steady time in ms at which nothing newer was known to be in the store,
   * -Infinity before the first time.
   */
  currentAt: () => number;
} {
  let storeReachable = true;
  let confirmedAt = -Infinity;
  let readAt = -Infinity;
  let watching = true;
  const neighbours = () =>
    mesh.index().entries.filter((entry) => entry.dataCentre === dataCentre);
  const onDuty = () => isWatcher({ name, storeReachable }, neighbours());
  const wanted = () => {
    const duty = onDuty();
    const ageMs = steadyTime() - confirmedAt;
    const wants = duty || version() === 0 || ageMs > CONFIRMED_MS;
    if (wants !== watching) {
      watching = wants;
      log(wants ? "store-watched" : "store-unwatched", {
        reason: duty ? "duty" : "confirmation",
        confirmedMsAgo: Number.isFinite(ageMs) ? Math.round(ageMs) : undefined,
        version: version(),
      });
    }
    return wants;
  };
  let resume: (() => void) | null = null;
  const untilWanted = async () => {
    if (wanted()) return false;
    await new Promise<void>((resolve) => {
      resume = resolve;
    });
    return true;
  };
  ticker.every(CHECK_MS, () => {
    if (resume === null || !wanted()) return;
    resume();
    resume = null;
  });
  ticker.every(CONFIRM_MS, () => {
    if (storeReachable && version() > 0 && onDuty()) {
      mesh.confirmConfiguration(version());
    }
  });
  ticker.every(ASK_PEERS_MS, () => {
    if (!storeReachable) mesh.requestConfiguration(version());
  });
  void watchTable({
    store,
    table: row.table,
    waitMs: WATCH_MS,
    untilWanted,
    log,
    onReachable(reachable) {
      storeReachable = reachable;
      mesh.announce();
    },
    onRead() {
      readAt = steadyTime();
    },
    onRow({ key, value, removed }) {
      if (key === row.key && !removed) onChange(value);
    },
  });
  return {
    confirm() {
      confirmedAt = steadyTime();
    },
    storeReachable: () => storeReachable,
    currentAt: () => Math.max(confirmedAt, readAt),
  };
}
