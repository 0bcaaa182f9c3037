import { count } from "../metrics/count.ts";
import type { Metrics } from "../metrics/metrics.ts";
import type { RowStore } from "./row_store.ts";

/** Counts the calls to a store, and those that fail. */
export function countStoreCalls(store: RowStore, metrics: Metrics): RowStore {
  const counted = async <Value>(
    operation: keyof RowStore,
    call: Promise<Value>,
  ): Promise<Value> => {
    count(metrics, "store_calls", { operation });
    try {
      return await call;
    } catch (fault) {
      count(metrics, "store_call_failures", { operation });
      throw fault;
    }
  };
  return {
    list: (table) => counted("list", store.list(table)),
    changes: (table, after, waitMs) =>
      counted("changes", store.changes(table, after, waitMs)),
    put: (table, key, value) => counted("put", store.put(table, key, value)),
    reconnect: (address) => store.reconnect(address),
  };
}
