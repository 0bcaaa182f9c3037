import type { Candidate } from "../routing/candidate.ts";
import type { Directory } from "./directory.ts";
import { indexMember } from "./index_member.ts";
import type { Member } from "./member.ts";

const NONE: readonly Candidate[] = Object.freeze([]);

/**
 * Returns the daemons that can take requests of a service: `up`, with a
 * server, neither failed nor in an unreachable data centre. The same array is
 * returned until one of them changes.
 */
export function candidates(
  directory: Directory,
  service: string,
): readonly Candidate[] {
  const offer = serviceIndexOf(directory).get(service);
  if (offer === undefined) return NONE;
  offer.candidates ??= [...offer.members.values()]
    .filter(({ entry }) => !directory.unreachable.has(entry.dataCentre))
    .map(candidateOf);
  return offer.candidates;
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
