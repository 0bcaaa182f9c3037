import type { Candidate } from "../routing/candidate.ts";
import type { Directory } from "./directory.ts";
import { indexMember } from "./index_member.ts";
import type { Member } from "./member.ts";

const NONE: readonly Candidate[] = Object.freeze([]);

/**
 * Returns the daemons that can serve requests for a service: those that are
 * `up` with a backend server of the service, have not failed and are not in an
 * unreachable data centre. Returns the same array until one of them changes.
 */
export function candidates(
  directory: Directory,
  service: string,
): readonly Candidate[] {
  const indexed = serviceIndexOf(directory).get(service);
  if (indexed === undefined) return NONE;
  indexed.candidates ??= [...indexed.members.values()]
    .filter(({ entry }) => !directory.unreachable.has(entry.dataCentre))
    .map(candidateOf);
  return indexed.candidates;
}

function serviceIndexOf(directory: Directory) {
  if (directory.serviceIndex === null) {
    directory.serviceIndex = new Map();
    for (const member of directory.members.values()) {
      indexMember(directory, undefined, member);
    }
  }
  return directory.serviceIndex;
}

function candidateOf({ entry, since }: Member): Candidate {
  const { address, dataCentre, instance, sequence } = entry;
  const { slots, warmupMs } = entry.server!;
  return { address, dataCentre, slots, since, warmupMs, instance, sequence };
}
