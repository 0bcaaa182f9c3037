import type { Labels } from "./labels.ts";

/** A metric whose value is read when the metrics are exported. */
export type Instrument = {
  type: "gauge" | "counter";
  /** Name without its unit. */
  name: string;
  help: string;
  unit?: "seconds" | "bytes" | "ratio";
  /** Returns one value, or one for each label combination; null for none. */
  read(): number | readonly Sample[] | null;
};

type Sample = { labels: Labels; value: number };
