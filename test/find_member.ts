import type { Fleet } from "../fleet/fleet.ts";
import type { Member } from "../fleet/member.ts";

/** Returns the latest process of a kind on a VM of the fleet. */
export function findMember(
  fleet: Fleet,
  kind: Member["kind"],
  place: { service: string; dataCentre?: string },
): Member {
  const { dataCentre = "" } = place;
  const member = fleet.members.findLast((one) =>
    one.kind === kind && one.service === place.service &&
    one.dataCentre === dataCentre
  );
  if (member === undefined) throw new Error(`No ${kind} of ${place.service}`);
  return member;
}
