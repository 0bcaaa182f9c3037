import type { Site } from "../platform/standin/site.ts";
import type { Disturbance } from "./disturbance.ts";
import type { Departure } from "./departure.ts";
import type { Proxy } from "./start_proxy.ts";

/** A site under faults. */
export type SoakState = {
  site: Site;
  /** In front of the daemons' listeners for each other, by VM. */
  proxies: Proxy[];
  storeProxy: Proxy;
  disturbances: Disturbance[];
  departures: Departure[];
  /** VMs whose process is being ended or started. */
  busy: Set<number>;
  /** Notes that a VM's daemon is disturbed, until what it returns is called. */
  recordDisturbance(vm: number, options?: { planned: boolean }): () => void;
  /** Whether the server of a VM can leave without ending its service. */
  canLeave(vm: number): boolean;
  /** Writes the next configuration. */
  change(): void;
  sleep(ms: number): Promise<void>;
};
