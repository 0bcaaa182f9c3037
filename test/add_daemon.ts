import type { Fleet } from "../fleet/fleet.ts";
import type { Member } from "../fleet/member.ts";
import { startDaemon } from "../fleet/start_daemon.ts";

type Vm = Pick<Member, "host" | "service" | "dataCentre">;

/** Starts a daemon without any state and adds it to the fleet. */
export async function addDaemon(
  fleet: Fleet,
  { host, service, dataCentre }: Vm,
  publicKey = fleet.keys.publicKey,
): Promise<Member> {
  const peers = fleet.members
    .filter((member) => member.kind === "daemon" && member.host !== host)
    .map((member) => member.host);
  const vm = { host, service, dataCentre, peers, publicKey };
  const daemon = await startDaemon({ ...fleet, ...vm });
  fleet.members.push(daemon);
  return daemon;
}
