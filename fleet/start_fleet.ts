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
/** Bounds how many processes compete for the processor while they start. */
const VMS_AT_ONCE = 4;
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
    const vms = assignVms(deployment, base);
    const seeds = vms.filter(({ service }) =>
      service === deployment.services[0]!.name
    ).map(({ host }) => host);
    for (let next = 0; next < vms.length; next += VMS_AT_ONCE) {
      const batch = vms.slice(next, next + VMS_AT_ONCE);
      // Pushed one by one, so that a failed start leaves no process behind.
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
