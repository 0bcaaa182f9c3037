import type { RouteReport } from "./route_report.ts";

/** Report that the daemon of a backend server sends with each outcome. */
export type CallReport = {
  /** Requests running at and waiting for the server, divided by its slots. */
  load: number;
  /** Included with some of the outcomes only, since it changes slowly. */
  route: RouteReport | null;
};
