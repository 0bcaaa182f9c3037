import type { Directory } from "./directory.ts";
import type { Member } from "./member.ts";

/** Returns the daemon's own member, which every directory holds. */
export function ownMember(directory: Directory): Member {
  return directory.members.get(directory.identity.address)!;
}
