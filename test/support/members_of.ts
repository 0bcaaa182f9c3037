import type { Fleet } from "../../fleet/fleet.ts";
import type { Member } from "../../fleet/member.ts";

/** Returns the processes of one kind, of the given service or of all services. */
export function membersOf(
  { members }: Fleet,
  kind: Member["kind"],
  service?: string,
): Member[] {
  return members.filter((member) =>
    member.kind === kind &&
    (service === undefined || member.service === service)
  );
}
