/** Load and health of another daemon as this one has observed them. */
export type Observation = {
  /** Attempts of this daemon that have not ended yet. */
  inFlight: number;
  /** Load reported with the latest response. */
  load: number;
  /** When `load` was reported, in ms. */
  loadAt: number;
  /** Failures since the latest success. */
  failures: number;
  /** End of the ejection, in ms; 0 if not ejected. */
  ejectedUntil: number;
  /** Ejections in close succession; each one lasts twice as long. */
  ejections: number;
  /** Whether a single probe request is on its way to an ejected daemon. */
  probing: boolean;
  /** When it was reinstated, in ms. */
  reinstatedAt: number;
  /** Its membership entry when it rejected as leaving; null if it did not. */
  leaving: { since: number; sequence: number | undefined } | null;
  /** Time of the latest start or end of an attempt, in ms. */
  usedAt: number;
  /** Service whose pool holds the daemon; null if none does. */
  service: string | null;
};
