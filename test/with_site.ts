import type { Site } from "../platform/standin/site.ts";
import { startSite } from "../platform/standin/start_site.ts";
import { serves } from "./serves.ts";
import { until } from "./until.ts";

type Options = Pick<
  Parameters<typeof startSite>[0],
  "net" | "vms" | "nodeArguments" | "meshHost"
>;

/** Starts a site, waits until all VMs serve all services, calls `run` and stops the site. */
export async function withSite(
  options: Options,
  run: (site: Site) => Promise<void>,
): Promise<void> {
  const services = [...new Set(options.vms.map(({ service }) => service))];
  const site = await startSite(options);
  try {
    site.configure(1);
    await until("all serve", async () => {
      const all = site.vms.map((vm) => serves(vm, services));
      return (await Promise.all(all)).every(Boolean);
    });
    await run(site);
  } finally {
    await site.stop();
  }
}
