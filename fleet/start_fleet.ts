import { mkdtempSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import type { Deployment } from "../deployments/deployment.ts";
import { generateKeys } from "../src/library.ts";
import type { ServerSettings } from "../standin/server/server_settings.ts";
import type { Fleet } from "./fleet.ts";
import { assignVms } from "./assign_vms.ts";
import type { Member } from "./member.ts";
import { publishRules } from "./publish_rules.ts";
import { startDaemon } from "./start_daemon.ts";
import { startPlatform } from "./start_platform.ts";
import { startServer } from "./start_server.ts";
import { stopFleet } from "./stop_fleet.ts";
import { waitUntilReady } from "./wait_until_ready.ts";

type Options = {
  deployment: Deployment;
  /** Second octet of the addresses; fleets that run at once need different ones. */
  base: number;
  /** Program and arguments that precede the `daemon` command. */
  program?: string[];
  /** `debug` namespaces that the daemons log. */
  log?: string;
  /** Settings of a VM's stand-in server that override those of the deployment. */
  extra?: (vm: { host: string; directory: string }) => Partial<ServerSettings>;
};

const PRODUCT = ["dist/nutmegmoor.cjs"];
/** VMs that start concurrently; limits CPU contention during start-up. */
const VMS_AT_ONCE = 4;
const LISTENING = "nutmegmoor:daemon";

/** Starts all processes of a deployment and waits until every daemon is ready. */
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
    const vms = assignVms(deployment, base);
    const seeds = vms.filter(({ service }) =>
      service === deployment.services[0]!.name
    ).map(({ host }) => host);
    for (let next = 0; next < vms.length; next += VMS_AT_ONCE) {
      const batch = vms.slice(next, next + VMS_AT_ONCE);
      // Each process is recorded once it has started, so that it is stopped even if
      // another one fails to start.
      const push = (member: Member) => fleet.members.push(member);
      const { publicKey } = keys;
      const started = batch.flatMap((vm) => {
        const peers = seeds.filter((seed) => seed !== vm.host);
        return [
          startDaemon({ ...fleet, ...vm, peers, publicKey }).then(push),
          startServer({
            deployment,
            ...vm,
            extra: extra?.({ ...vm, directory: fleet.directory }),
          }).then(push),
        ];
      });
      const failed = (await Promise.allSettled(started))
        .find(({ status }) => status === "rejected");
      if (failed?.status === "rejected") throw failed.reason;
    }
    await waitUntilReady(fleet);
    return fleet;
  } catch (error) {
    await stopFleet(fleet);
    throw error;
  }
}
