import { endMember } from "../fleet/end_member.ts";
import type { Fleet } from "../fleet/fleet.ts";
import { getJson } from "../fleet/get_json.ts";
import type { Member } from "../fleet/member.ts";
import { Ports } from "../fleet/ports.ts";
import { startDaemon } from "../fleet/start_daemon.ts";
import { startServer } from "../fleet/start_server.ts";
import { waitForExit } from "./wait_for_exit.ts";
import { findMember } from "./find_member.ts";

/** Stops the daemon and server of a VM gracefully and restarts both. */
export async function restartVm(
  fleet: Fleet,
  { service, dataCentre, host }: Member,
): Promise<number | string | null> {
  const vm = { service, dataCentre, host };
  const daemon = findMember(fleet, "daemon", vm);
  const server = findMember(fleet, "server", vm);
  await getJson(`http://${host}:${Ports.server}/-/leave`, {});
  daemon.process.kill("SIGTERM");
  const status = await waitForExit(daemon);
  await endMember(server, "SIGTERM");
  const peers = [...new Set(fleet.members.map((member) => member.host))]
    .filter((peer) => peer !== host && peer !== fleet.platform);
  const { publicKey } = fleet.keys;
  const started = await Promise.all([
    startDaemon({ ...fleet, ...vm, peers, publicKey }),
    startServer({ ...fleet, ...vm }),
  ]);
  fleet.members = fleet.members.filter((member) =>
    member !== daemon && member !== server
  );
  fleet.members.push(...started);
  return status;
}
