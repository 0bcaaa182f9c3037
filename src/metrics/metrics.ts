import type { JsHistogram } from "hdr-histogram-js";
import type { Family } from "./family.ts";

/** Counters and histograms of one daemon. */
export type Metrics = {
  counters: Map<string, Family<Counter>>;
  histograms: Map<string, Family<Distribution>>;
  /** Maximum label combinations of all counters, and of all histograms. */
  caps: { counters: number; histograms: number };
  /** Label combinations in use. */
  used: { counters: number; histograms: number };
  /** Number of measurements that went to an overflow series. */
  overflowed: number;
};

type Counter = { value: number };

type Distribution = { histogram: JsHistogram; sumMs: number };
