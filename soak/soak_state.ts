import type { Site } from "../platform/standin/site.ts";
import type { Disturbance } from "./disturbance.ts";
import type { Leaving } from "./leaving.ts";
import type { Proxy } from "./start_proxy.ts";

/** A site and the faults that are injected into it. */
export type SoakState = {
  site: Site;
  /** Proxies in front of the daemons' mesh listeners, by VM index. */
  proxies: Proxy[];
  storeProxy: Proxy;
  disturbances: Disturbance[];
  departures: Leaving[];
  /** VMs whose daemon is being stopped, paused or started. */
  busy: Set<number>;
  /** Records a disturbance of a VM's daemon; the returned function ends it. */
  recordDisturbance(vm: number, options?: { planned: boolean }): () => void;
  /** Whether the server of a VM can deregister while its service keeps enough servers. */
  canLeave(vm: number): boolean;
  /** Writes the next version of the configuration. */
  change(): void;
  sleep(ms: number): Promise<void>;
};
