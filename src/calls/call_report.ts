import type { RouteReport } from "./route_report.ts";

/** What the daemon beside a backend server tells with each outcome. */
export type CallReport = {
  /** Requests running and waiting for the server, as a share of its slots. */
  load: number;
  /** Sent with some of the outcomes, since it changes slowly. */
  route: RouteReport | null;
};
