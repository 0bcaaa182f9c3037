import { count } from "../metrics/count.ts";
import type { Metrics } from "../metrics/metrics.ts";
import type { RowStore } from "./row_store.ts";

/** Wraps a store so that its calls and their failures are counted. */
export function countStoreCalls(store: RowStore, metrics: Metrics): RowStore {
  const countCall = async <Value>(
    operation: keyof RowStore,
    call: Promise<Value>,
  ): Promise<Value> => {
    count(metrics, "store_calls", { operation });
    try {
      return await call;
    } catch (error) {
      count(metrics, "store_call_failures", { operation });
      throw error;
    }
  };
  return {
    list: (table) => countCall("list", store.list(table)),
    changes: (table, after, waitMs) =>
      countCall("changes", store.changes(table, after, waitMs)),
    put: (table, key, value) => countCall("put", store.put(table, key, value)),
    reconnect: (address) => store.reconnect(address),
  };
}
