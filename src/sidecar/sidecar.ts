import type { Announcement } from "../backend/announcement.ts";
import type { Departure } from "../backend/departure.ts";
import type { SidecarSettings } from "./sidecar_settings.ts";

/** A running daemon beside a backend server. */
export type Sidecar = {
  /** Whether clients should be sent here. */
  ready(): boolean;
  announce(announcement: Announcement): void;
  /** Returns once the departure will outlast this process, or soon after. */
  depart(departure: Departure): Promise<void>;
  /** Metrics in the Prometheus text format. */
  metrics(): string;
  /**
   * Takes new settings into force: the store's address, retries and the grace
   * period. Names and listeners hold until the process starts again.
   */
  reload(settings: SidecarSettings): void;
  /** Finishes what is in flight; resolves when the process can end. */
  stop(): Promise<void>;
};
