import type { CallOutcome } from "../calls/call_outcome.ts";
import type { CallReport } from "../calls/call_report.ts";
import type { CallRequest } from "../calls/call_request.ts";
import type { Announcement } from "./announcement.ts";
import type { Departure } from "./departure.ts";
import type { Probe } from "./probe.ts";
import type { Registration } from "./registration.ts";
import type { Occupancy } from "./occupancy.ts";

/** The backend server beside this daemon, and the only way to it. */
export type Backend = {
  registration(): Registration | null;
  /** Whether the server takes new work now. */
  available(): boolean;
  /** Running and waiting requests as a share of the limit. */
  load(): number;
  /** Mean time that a request runs, in ms. */
  meanRunMs(): number;
  applyAnnouncement(announcement: Announcement): void;
  /** Takes a healthy server into use that hasn't announced itself yet. */
  applyProbe(probe: Probe): void;
  applyDeparture(departure: Departure): void;
  /**
   * Opens the gate. Until then the server is taken as unavailable: it may have
   * left before this process started.
   */
  open(): void;
  /** Applies a departure that was acknowledged before this process started. */
  restoreDeparture(departure: { id: string; startedAt: number }): void;
  /**
   * Runs a request; the outcome comes once, possibly before this returns. The
   * returned function cancels it, after which no outcome comes.
   */
  serve(
    request: CallRequest,
    onOutcome: (outcome: CallOutcome, report: CallReport) => void,
  ): () => void;
  /**
   * Runs must end by this steady time in ms: the server is told so, and
   * requests that may take longer are turned away.
   */
  setRunDeadline(deadline: number): void;
  /** Route of the running request that expires at a time, if there is one. */
  routeExpiringAt(expiresAt: number): string | null;
  /** Ends what ran out of time, and closes connections idle for long. */
  tick(): void;
  occupancy(): Occupancy;
};
