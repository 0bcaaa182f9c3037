import type { ReportedLevel } from "./reported_level.ts";

/** Admission levels learned from responses. */
export type Shedding = {
  /** By service and then by daemon, see `keyOf`. */
  levels: Map<string, Map<string, ReportedLevel>>;
  /** Requests rejected at the source since the latest probe, by service. */
  rejected: Map<string, number>;
};
