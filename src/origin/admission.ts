import type { ServiceCost } from "../calls/service_cost.ts";

/**
 * Admission limits, by service, of the root requests that enter at this daemon;
 * a root request is one that a client sends. The admission control of
 * `src/admission` is separate: it protects a single backend server.
 */
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
  /** Moving average of the slots that requests admitted here use. */
  used: number;
  /** Slots that they may use; Infinity until the use is known. */
  allowed: number;
  /** Token bucket of slot time, in ms; negative if overdrawn. */
  balanceMs: number;
  /** Slot time admitted since the last update, in ms. */
  admittedMs: number;
  /** Root routes that use the service, the most important first. */
  order: RootReserve[];
};

type RootReserve = {
  name: string;
  /** Bucket level, as a share of its capacity, below which it is refused. */
  reserve: number;
};

type Root = {
  rank: number;
  costs: readonly ServiceCost[];
  /** Steady time of the last request, in ms. */
  lastRequestAt: number;
};
