import type { Logger } from "../core/logger.ts";
import type { Mesh } from "../mesh/mesh.ts";
import { isWatcher } from "./is_watcher.ts";
import type { RowStore } from "./row_store.ts";
import type { Ticker } from "./ticker.ts";
import { watchTable } from "./watch_table.ts";

// Longest time that one call to the store waits for a change. An unresponsive
// connection is noticed only when the call times out, and a configuration must
// take effect within 2 s after the store is back.
const LONG_POLL_MS = 1_500;
// Interval at which a watcher tells its neighbours which version is the newest.
const CONFIRM_INTERVAL_MS = 300;
// A daemon without a confirmation for this long polls the store itself: just
// under half of the 2 s within which a configuration must take effect.
const MAX_CONFIRMATION_AGE_MS = 900;
const CHECK_INTERVAL_MS = 100;
// Interval at which a daemon that can't reach the store asks a peer instead.
const PEER_REQUEST_INTERVAL_MS = 300;

/**
 * Keeps the configuration up to date. A few daemons of each data centre watch
 * the store and pass on what they read to the others, which watch the store
 * themselves only while they receive no confirmations.
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
    /** Table and key of the row with the configuration. */
    row: { table: string; key: string };
    mesh: Mesh;
    /** Version of the active configuration, 0 for none. */
    version: () => number;
    ticker: Ticker;
    steadyTime: () => number;
    log: Logger;
    /** Called with the row's content whenever it was read from the store. */
    onChange: (bytes: Buffer) => void;
  },
): {
  /** To be called when a watcher has confirmed the active version. */
  confirm: () => void;
  storeReachable: () => boolean;
  /**
   * Steady time in ms at which the active version was last confirmed to be the
   * newest, -Infinity before the first time.
   */
  lastConfirmedAt: () => number;
} {
  let storeReachable = true;
  let peerConfirmedAt = -Infinity;
  let storeReadAt = -Infinity;
  let watching = true;
  const neighbours = () =>
    mesh.index().entries.filter((entry) => entry.dataCentre === dataCentre);
  const isDesignated = () => isWatcher({ name, storeReachable }, neighbours());
  const shouldWatch = () => {
    const designated = isDesignated();
    const ageMs = steadyTime() - peerConfirmedAt;
    const needed = designated || version() === 0 ||
      ageMs > MAX_CONFIRMATION_AGE_MS;
    if (needed !== watching) {
      watching = needed;
      log(needed ? "store-watched" : "store-unwatched", {
        reason: designated ? "duty" : "confirmation",
        confirmedMsAgo: Number.isFinite(ageMs) ? Math.round(ageMs) : undefined,
        version: version(),
      });
    }
    return needed;
  };
  let resume: (() => void) | null = null;
  const waitUntilNeeded = async () => {
    if (shouldWatch()) return false;
    await new Promise<void>((resolve) => {
      resume = resolve;
    });
    return true;
  };
  ticker.every(CHECK_INTERVAL_MS, () => {
    if (resume === null || !shouldWatch()) return;
    resume();
    resume = null;
  });
  ticker.every(CONFIRM_INTERVAL_MS, () => {
    if (storeReachable && version() > 0 && isDesignated()) {
      mesh.confirmConfiguration(version());
    }
  });
  ticker.every(PEER_REQUEST_INTERVAL_MS, () => {
    if (!storeReachable) mesh.requestConfiguration(version());
  });
  void watchTable({
    store,
    table: row.table,
    waitMs: LONG_POLL_MS,
    waitUntilNeeded,
    log,
    onReachable(reachable) {
      storeReachable = reachable;
      mesh.announce();
    },
    onRead() {
      storeReadAt = steadyTime();
    },
    onRow({ key, value, removed }) {
      if (key === row.key && !removed) onChange(value);
    },
  });
  return {
    confirm() {
      peerConfirmedAt = steadyTime();
    },
    storeReachable: () => storeReachable,
    lastConfirmedAt: () => Math.max(peerConfirmedAt, storeReadAt),
  };
}
