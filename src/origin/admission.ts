import type { ServiceCost } from "../calls/service_cost.ts";

/** What the root requests admitted here may use of each service. */
export type Admission = {
  services: Map<string, Allowance>;
  /** Root routes that were requested here, by name. */
  roots: Map<string, Root>;
  /** Steady time of the last update, in ms. */
  updatedAt: number;
};

type Allowance = {
  /** Running and waiting requests as a share of the slots of the service. */
  load: number;
  /** Slots that the requests admitted here have used lately. */
  used: number;
  /** Slots that they may use; Infinity as long as nothing is known. */
  allowed: number;
  /** Slot time that may be spent now, in ms; negative where it is overdrawn. */
  balanceMs: number;
  /** Slot time admitted since the last update, in ms. */
  admittedMs: number;
  /** Roots that use the service, the most important first. */
  order: RootShare[];
};

type RootShare = {
  name: string;
  /** Share of the most savings that must be there for it. */
  reserve: number;
};

type Root = {
  rank: number;
  costs: readonly ServiceCost[];
  /** Steady time of the last request, in ms. */
  lastRequestAt: number;
};
