import type { Announcement } from "../backend/announcement.ts";
import type { Departure } from "../backend/departure.ts";
import type { SidecarSettings } from "./sidecar_settings.ts";

/** A running sidecar daemon of a backend server. */
export type Sidecar = {
  /** Whether clients should use this daemon. */
  ready(): boolean;
  announce(announcement: Announcement): void;
  /** Resolves once the departure is stored, or after a time-out. */
  depart(departure: Departure): Promise<void>;
  /** Metrics in the Prometheus text format. */
  metrics(): string;
  /**
   * Applies new settings for the store's address, retries and the grace period.
   * Names and listeners change only when the process is restarted.
   */
  reload(settings: SidecarSettings): void;
  /** Finishes open requests; resolves when the process can exit. */
  stop(): Promise<void>;
};
