/** What this daemon has seen of one other daemon. */
export type Observation = {
  /** Attempts of this daemon that are open there. */
  inFlight: number;
  /** Load reported with the latest response. */
  load: number;
  /** When `load` was reported, in ms. */
  loadAt: number;
  /** Failures since the latest success. */
  failures: number;
  /** No traffic until then, in ms; 0 where not ejected. */
  ejectedUntil: number;
  /** Whether a single probe request is on its way to an ejected daemon. */
  probing: boolean;
};
