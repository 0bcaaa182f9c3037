import type { z } from "zod";
import type { Issue } from "../core/issue.ts";
import type { Logger } from "../core/logger.ts";
import { parseJson } from "../core/parse_json.ts";
import type { Metrics } from "../metrics/metrics.ts";
import { DaemonRow } from "./daemon_row.ts";
import { delay } from "./delay.ts";
import { DepartureRow } from "./departure_row.ts";
import { reportInvalidRow } from "./report_invalid_row.ts";
import type { RowStore } from "./row_store.ts";

const TABLE = "nutmegmoor";
const DAEMON_PREFIX = "daemon/";
const DEPARTURE_PREFIX = "departure/";
const RETRY_INTERVAL_MS = 300;

/** Table of the daemons' rows, and the key of a daemon's departure row. */
export const FleetRows = {
  table: TABLE,
  departureKey: (name: string) => `${DEPARTURE_PREFIX}${name}`,
};

/**
 * Writes this daemon's row, then reads the rows of all others. In this order,
 * at least one of two daemons that start together sees the other. Retries until
 * the store answers.
 */
export async function joinFleet(
  { store, name, row, log, metrics, onDaemon, onDeparture }: {
    store: RowStore;
    name: string;
    row: DaemonRow;
    log: Logger;
    metrics: Metrics;
    onDaemon: (row: DaemonRow) => void;
    /** The local backend server had left before this daemon started. */
    onDeparture: (row: DepartureRow) => void;
  },
): Promise<void> {
  const reportInvalid = (key: string, issue: Issue) =>
    reportInvalidRow({ key }, issue, { log, metrics });
  for (let failures = 0;; failures++) {
    try {
      const value = Buffer.from(JSON.stringify(row));
      await store.put(TABLE, `${DAEMON_PREFIX}${name}`, value);
      const { rows } = await store.list(TABLE);
      for (const { key, value } of rows) {
        if (key === FleetRows.departureKey(name)) {
          passRow(DepartureRow, key, value, onDeparture, reportInvalid);
        } else if (
          key.startsWith(DAEMON_PREFIX) && key !== `${DAEMON_PREFIX}${name}`
        ) {
          passRow(DaemonRow, key, value, onDaemon, reportInvalid);
        }
      }
      log("fleet-joined", { rows: rows.length, failures });
      return;
    } catch (error) {
      if (failures === 0) log("fleet-join-failed", { fault: String(error) });
      await delay(RETRY_INTERVAL_MS);
    }
  }
}

/** Passes on a decoded row; one that can't be decoded is left out. */
function passRow<Schema extends z.ZodType>(
  schema: Schema,
  key: string,
  value: Buffer,
  onRow: (row: z.infer<Schema>) => void,
  onInvalid: (key: string, issue: Issue) => void,
): void {
  const parsed = parseJson(schema, value);
  if (parsed.ok) onRow(parsed.value);
  else onInvalid(key, parsed.issues[0]!);
}
