import type { MemberList } from "../cli/member_list.ts";
import type { Directory } from "../membership/directory.ts";
import { isLive } from "../membership/is_live.ts";

/** Returns the directory as `GET /-/members` shows it. */
export function listMembers(directory: Directory): MemberList {
  const members = [...directory.members.values()].map((member) => ({
    address: member.entry.address,
    dataCentre: member.entry.dataCentre,
    state: member.entry.state,
    incarnation: member.entry.incarnation,
    sequence: member.entry.sequence,
    reachable: isLive(member) &&
      !directory.unreachable.has(member.entry.dataCentre),
    server: member.entry.server,
  }));
  members.sort((left, right) => left.address < right.address ? -1 : 1);
  return { members };
}
