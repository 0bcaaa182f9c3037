import type { Observation } from "./observation.ts";

/** Routing state of one daemon. */
export type Routing = {
  /** Data centre of this daemon. */
  dataCentre: string;
  /** By address. */
  observations: Map<string, Observation>;
};
