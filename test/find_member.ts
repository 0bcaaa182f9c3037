import type { Fleet } from "../fleet/fleet.ts";
import type { Member } from "../fleet/member.ts";

/** Returns the latest process of a kind on a VM of the fleet. */
export function findMember(
  fleet: Fleet,
  kind: Member["kind"],
  place: { service: string; dataCentre?: string },
): Member {
  const { dataCentre = "" } = place;
  const found = fleet.members.findLast((member) =>
    member.kind === kind && member.service === place.service &&
    member.dataCentre === dataCentre
  );
  if (found === undefined) throw new Error(`No ${kind} of ${place.service}`);
  return found;
}
