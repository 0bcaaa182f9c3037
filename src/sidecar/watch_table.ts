import type { Logger } from "../core/logger.ts";
import { delay } from "./delay.ts";
import type { RowStore } from "./row_store.ts";

// Pause after a change: a single change is read immediately, and those that
// follow it closely are read with one call.
const BATCH_MS = 300;
const MIN_RETRY_MS = 100;
const MAX_RETRY_MS = 800;

/**
 * Passes on the rows of a table and then their changes until the process ends.
 * When the store no longer has the history, all rows are read again.
 */
export async function watchTable(
  { store, table, waitMs, waitUntilNeeded, log, onReachable, onRead, onRow }: {
    store: RowStore;
    table: string;
    /** Longest time that one call waits for a change. */
    waitMs: number;
    /** Resolves once the store should be polled: true if there was a pause. */
    waitUntilNeeded: () => Promise<boolean>;
    log: Logger;
    /** The store stopped answering, or answers again. */
    onReachable: (reachable: boolean) => void;
    /** `onRow` has received the current state of all rows. */
    onRead: () => void;
    onRow: (row: { key: string; value: Buffer; removed: boolean }) => void;
  },
): Promise<never> {
  let after: number | null = null;
  let failures = 0;
  for (;;) {
    // The store may have dropped the history of the pause.
    if (await waitUntilNeeded()) after = null;
    try {
      const page: Awaited<ReturnType<RowStore["changes"]>> = after === null
        ? await store.list(table)
        : await store.changes(table, after, waitMs);
      if (failures > 0) {
        log("store-regained", { table, failures });
        onReachable(true);
      }
      failures = 0;
      if (page === "history-gone") {
        log("store-history-gone", { table, after: after ?? 0 });
        after = null;
        continue;
      }
      after = page.version;
      for (const row of page.rows) onRow(row);
      onRead();
      if (page.rows.length > 0) await delay(BATCH_MS);
    } catch (error) {
      if (failures === 0) {
        log("store-lost", { table, fault: String(error) });
        onReachable(false);
      }
      await delay(Math.min(MAX_RETRY_MS, MIN_RETRY_MS * 2 ** failures));
      failures++;
    }
  }
}
