import type { ServiceCost } from "./service_cost.ts";

/** What the daemon beside a backend server tells with each outcome. */
export type CallReport = {
  /** Requests running and waiting for the server, as a share of its slots. */
  load: number;
  /** Slot time of the request's whole call graph, if it has changed. */
  costs: readonly ServiceCost[] | null;
};
