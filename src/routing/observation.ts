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
  /** Ejections in close succession; the next one lasts longer. */
  ejections: number;
  /** Whether a single probe request is on its way to an ejected daemon. */
  probing: boolean;
  /** When it was reinstated, in ms. */
  reinstatedAt: number;
  /** State of its entry when it rejected as leaving; null where it did not. */
  leaving: { since: number; sequence: number | undefined } | null;
  /** Latest attempt that started or ended, in ms. */
  usedAt: number;
  /** Service whose plan holds it; null where none does. */
  service: string | null;
};
