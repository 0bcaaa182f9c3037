import type { ServiceCost } from "../calls/service_cost.ts";

/** How much of the root requests is refused, by the service that binds. */
export type Admission = {
  services: Map<string, Pressure>;
  /** Root routes that were requested here, by name. */
  roots: Map<string, Root>;
  /** Steady time of the last update, in ms. */
  updatedAt: number;
};

type Pressure = {
  /** Smoothed load of the servers of the service. */
  load: number;
  /**
   * How far refusals reach into the roots that use the service: the least
   * important route is refused in full at 1, the next one at 2.
   */
  level: number;
  /** Names of the roots that use the service, the first is refused first. */
  order: string[];
};

type Root = {
  rank: number;
  costs: readonly ServiceCost[];
  /** Steady time of the last request, in ms. */
  seenAt: number;
};
