import type { Logger } from "../core/logger.ts";
import { delay } from "./delay.ts";
import type { RowStore } from "./row_store.ts";

// A change that comes alone is taken at once; those that follow it closely
// share one call.
const GATHER_MS = 300;
const FIRST_RETRY_MS = 100;
const MOST_RETRY_MS = 800;

/**
 * Keeps handing out the rows of a table and their changes until the process
 * ends. When the store has dropped its history, all rows are read again.
 */
export async function watchTable(
  { store, table, waitMs, untilWanted, log, onReachable, onRead, onRow }: {
    store: RowStore;
    table: string;
    /** Longest time that one call waits for a change. */
    waitMs: number;
    /** Resolves once the store shall be asked, to true after a pause. */
    untilWanted: () => Promise<boolean>;
    log: Logger;
    /** The store stopped answering, or answers again. */
    onReachable: (reachable: boolean) => void;
    /** All rows have been handed out as they are in the store now. */
    onRead: () => void;
    onRow: (row: { key: string; value: Buffer; removed: boolean }) => void;
  },
): Promise<never> {
  let after: number | null = null;
  let failures = 0;
  for (;;) {
    // The history of a pause may be dropped before it is asked for.
    if (await untilWanted()) after = null;
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
      if (page.rows.length > 0) await delay(GATHER_MS);
    } catch (fault) {
      if (failures === 0) {
        log("store-lost", { table, fault: String(fault) });
        onReachable(false);
      }
      await delay(Math.min(MOST_RETRY_MS, FIRST_RETRY_MS * 2 ** failures));
      failures++;
    }
  }
}
