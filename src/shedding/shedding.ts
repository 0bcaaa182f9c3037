import type { ReportedLevel } from "./reported_level.ts";

/** State for shedding requests at their source. */
export type Shedding = {
  /** Reported levels by service and by `levelKey`. */
  levels: Map<string, Map<string, ReportedLevel>>;
  /** Requests shed at the source since the latest probe, by service. */
  rejected: Map<string, number>;
};
