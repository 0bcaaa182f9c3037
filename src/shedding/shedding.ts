import type { Known } from "./known.ts";

/** Admission levels learned from responses. */
export type Shedding = {
  /** By service and then by daemon, see `keyOf`. */
  levels: Map<string, Map<string, Known>>;
  /** Requests rejected at the source since the latest probe, by service. */
  rejected: Map<string, number>;
};
