import type { CallOutcome } from "../calls/call_outcome.ts";
import type { CallReport } from "../calls/call_report.ts";
import type { CallRequest } from "../calls/call_request.ts";
import type { Announcement } from "./announcement.ts";
import type { Departure } from "./departure.ts";
import type { Occupancy } from "./occupancy.ts";
import type { Probe } from "./probe.ts";
import type { Registration } from "./registration.ts";

/**
 * The local backend server. All requests to it pass through this object, which
 * limits how many run at once.
 */
export type Backend = {
  registration(): Registration | null;
  /** Whether the server accepts new requests now. */
  available(): boolean;
  /** Running and waiting requests divided by the concurrency limit. */
  load(): number;
  /** Mean run time of a request, in ms. */
  meanRunMs(): number;
  applyAnnouncement(announcement: Announcement): void;
  /**
   * Registers a server that passed a health check but has not sent a heartbeat.
   */
  applyProbe(probe: Probe): void;
  applyDeparture(departure: Departure): void;
  /**
   * Starts to accept requests. Until then the server counts as unavailable,
   * because it may have left before this process started.
   */
  open(): void;
  /** Applies a departure that was acknowledged before this process started. */
  restoreDeparture(departure: { id: string; startedAt: number }): void;
  /**
   * Runs a request. `onOutcome` is called once, possibly before this returns.
   * The returned function cancels the request, after which `onOutcome` is not
   * called.
   */
  serve(
    request: CallRequest,
    onOutcome: (outcome: CallOutcome, report: CallReport) => void,
  ): () => void;
  /**
   * Sets the monotonic time in ms by which all runs must end. The server receives
   * it as their deadline, and requests that may take longer are refused.
   */
  setRunDeadline(deadline: number): void;
  /**
   * Route of the running request that expires closest to `expiresAt`, or null
   * if there is none or runs of several routes are equally close.
   */
  routeExpiringAt(expiresAt: number): string | null;
  /**
   * Ends requests past their deadline and closes connections that were idle for
   * too long.
   */
  tick(): void;
  occupancy(): Occupancy;
};
