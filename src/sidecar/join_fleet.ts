import type { z } from "zod";
import type { Logger } from "../core/logger.ts";
import { parseJson } from "../core/parse_json.ts";
import { DaemonRow } from "./daemon_row.ts";
import { delay } from "./delay.ts";
import { DepartureRow } from "./departure_row.ts";
import type { RowStore } from "./row_store.ts";

const TABLE = "nutmegmoor";
const DAEMON = "daemon/";
const DEPARTURE = "departure/";
const RETRY_MS = 300;

/** Keys of the rows of one daemon. */
export const FleetRows = {
  table: TABLE,
  departureKey: (name: string) => `${DEPARTURE}${name}`,
};

/**
 * Writes the own row, then reads those of all others: of two daemons that
 * start together, at least one sees the other. Tries until the store answers.
 */
export async function joinFleet(
  { store, name, row, log, onDaemon, onDeparture }: {
    store: RowStore;
    name: string;
    row: DaemonRow;
    log: Logger;
    onDaemon: (row: DaemonRow) => void;
    /** The backend server beside this daemon had left before it started. */
    onDeparture: (row: DepartureRow) => void;
  },
): Promise<void> {
  for (let failures = 0;; failures++) {
    try {
      const value = Buffer.from(JSON.stringify(row));
      await store.put(TABLE, `${DAEMON}${name}`, value);
      const { rows } = await store.list(TABLE);
      for (const { key, value } of rows) {
        if (key === FleetRows.departureKey(name)) {
          take(DepartureRow, key, value, onDeparture, log);
        } else if (key.startsWith(DAEMON) && key !== `${DAEMON}${name}`) {
          take(DaemonRow, key, value, onDaemon, log);
        }
      }
      log("fleet-joined", { rows: rows.length, failures });
      return;
    } catch (fault) {
      if (failures === 0) log("fleet-join-failed", { fault: String(fault) });
      await delay(RETRY_MS);
    }
  }
}

/** Hands out a row; one that can't be read names no daemon. */
function take<Schema extends z.ZodType>(
  schema: Schema,
  key: string,
  value: Buffer,
  onRow: (row: z.infer<Schema>) => void,
  log: Logger,
): void {
  const parsed = parseJson(schema, value);
  if (parsed.ok) onRow(parsed.value);
  else log("row-unreadable", { key, message: parsed.issues[0]!.message });
}
