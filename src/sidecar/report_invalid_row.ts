import type { Issue } from "../core/issue.ts";
import type { Logger } from "../core/logger.ts";
import { count } from "../metrics/count.ts";
import type { Metrics } from "../metrics/metrics.ts";

/** Logs and counts a row of the platform's store that was left out. */
export function reportInvalidRow(
  row: { table: string } | { key: string },
  { path, message }: Issue,
  { log, metrics }: { log: Logger; metrics: Metrics },
): void {
  count(metrics, "rows_invalid", {});
  log("row-invalid", { ...row, at: path.join("."), message });
}
