import { mkdtempSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import type { Deployment } from "../deployments/deployment.ts";
import { generateKeys } from "../src/library.ts";
import type { ServerSettings } from "../standin/server/server_settings.ts";
import type { Fleet } from "./fleet.ts";
import { layOut } from "./lay_out.ts";
import { publishRules } from "./publish_rules.ts";
import { startDaemon } from "./start_daemon.ts";
import { startPlatform } from "./start_platform.ts";
import { startServer } from "./start_server.ts";
import { stopFleet } from "./stop_fleet.ts";
import { waitUntilReady } from "./wait_until_ready.ts";

/** How to start a fleet. */
type Options = {
  deployment: Deployment;
  /** Second number of the addresses, so that fleets do not meet. */
  base: number;
  /** Program and arguments before `daemon`. */
  program?: string[];
  /** Namespaces of `debug`. */
  log?: string;
  /** Settings of the stand-in servers beyond the deployment. */
  extra?: (vm: { host: string; directory: string }) => Partial<ServerSettings>;
};

const PRODUCT = ["dist/nutmegmoor.cjs"];
const LISTENING = "nutmegmoor:daemon";

/** Starts all processes of a deployment and waits until they know each other. */
export async function startFleet(
  { deployment, base, program = PRODUCT, log = LISTENING, extra }: Options,
): Promise<Fleet> {
  const platform = `127.${base}.0.1`;
  const keys = generateKeys();
  const fleet: Fleet = {
    deployment,
    members: [],
    directory: mkdtempSync(join(tmpdir(), "nutmegmoor-")),
    platform,
    program,
    log,
    keys,
  };
  try {
    fleet.members.push(...await startPlatform(platform));
    await publishRules(deployment, { platform, ...keys, version: 1 });
    const vms = layOut(deployment, base);
    const seeds = vms.filter(({ service }) =>
      service === deployment.services[0]!.name
    ).map(({ host }) => host);
    for (const vm of vms) {
      const peers = seeds.filter((seed) => seed !== vm.host);
      const [daemon, server] = await Promise.all([
        startDaemon({ ...fleet, ...vm, peers, publicKey: keys.publicKey }),
        startServer({
          deployment,
          ...vm,
          extra: extra?.({ ...vm, directory: fleet.directory }),
        }),
      ]);
      fleet.members.push(daemon, server);
    }
    await waitUntilReady(fleet);
    return fleet;
  } catch (error) {
    await stopFleet(fleet);
    throw error;
  }
}
