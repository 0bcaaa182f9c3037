import type { ClientResponse } from "../platform/standin/send_to.ts";
import type { Site, Vm } from "../platform/standin/site.ts";
import { startSlowRelay } from "./support/start_slow_relay.ts";
import { serves } from "./serves.ts";
import { withSite } from "./with_site.ts";

const MESH_PORT = 7620;
const VMS = [
  { zone: "a", service: "front" },
  { zone: "a", service: "deep" },
  { zone: "b", service: "front" },
  { zone: "b", service: "deep" },
];

/** Helpers for a site with two services in two data centres. */
export const smallSite = {
  run: (net: number, run: (site: Site) => Promise<void>) =>
    withSite({ net, vms: VMS }, run),
  /** Runs the site with relays between the daemons that limit the throughput. */
  async runThroughRelays(
    { net, bytesPerS }: { net: number; bytesPerS: number },
    run: (site: Site) => Promise<void>,
  ) {
    const meshHost = (at: number) => `127.${net}.1.${at + 1}`;
    const relays = await Promise.all(
      VMS.map((_vm, at) =>
        startSlowRelay({ host: meshHost(at), port: MESH_PORT }, {
          host: `127.${net}.0.${at + 1}`,
          port: MESH_PORT,
        }, bytesPerS)
      ),
    );
    try {
      await withSite({ net, vms: VMS, meshHost }, run);
    } finally {
      relays.forEach(({ close }) => close());
    }
  },
  serves: (vm: Vm) => serves(vm, ["front", "deep"]),
  /** Whether the response is complete and belongs to the client's request. */
  isComplete: ({ id, status, body }: ClientResponse, service: string) =>
    status === 200 && body.startsWith(`${id} ${service} `),
  runsOf: ({ vms }: Site, id: string) =>
    vms.reduce((sum, { app }) => sum + (app.runs.get(id) ?? 0), 0),
};
