import type { Observation } from "./observation.ts";
import type { Pool } from "./pool.ts";

/** Routing state of one daemon. */
export type Routing = {
  /** Data centre of this daemon. */
  dataCentre: string;
  /** Address of this daemon; makes its subsets differ from those of others. */
  address: string;
  /** By address. */
  observations: Map<string, Observation>;
  /** By service. */
  pools: Map<string, Pool>;
};
