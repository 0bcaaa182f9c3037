import type { Random } from "../core/random.ts";
import type { Directory } from "./directory.ts";
import { isLive } from "./is_live.ts";
import { peersOf } from "./peers_of.ts";

/**
 * Share of exchanges within the own data centre, where most changes are needed
 * and round trips are short.
 */
const OWN_SHARE = 0.8;
/**
 * Share of exchanges that try a data centre some of whose members have not
 * answered, to find out soon whether all of it is unreachable.
 */
const FAILING_SHARE = 0.5;
/**
 * Share of exchanges that try an unreachable data centre. Bounds how long its
 * return goes unnoticed.
 */
const UNREACHABLE_SHARE = 0.25;
/**
 * A data centre is tried once it has not been heard from for this time, in ms,
 * multiplied by the number of other data centres. Bounds how long its loss goes
 * unnoticed, and takes at most a fifth of the exchanges, which are 2 s apart.
 */
const SILENCE_MS = 10_000;
/**
 * Share of exchanges that try a failed member, so that two parts of a data
 * centre that declared each other failed find each other again.
 */
const FAILED_SHARE = 0.03;

type PartnerPicker = (
  directory: Directory,
  random: Random,
  now: number,
) => string | null;

/** Tried in order, each with probability `share`, until one finds a daemon. */
const PICKERS: readonly { share: number; pick: PartnerPicker }[] = [
  { share: FAILED_SHARE, pick: pickFailed },
  { share: FAILING_SHARE, pick: pickFailing },
  { share: UNREACHABLE_SHARE, pick: pickUnreachable },
  { share: 1, pick: pickSilent },
  { share: OWN_SHARE, pick: pickOwn },
  { share: 1, pick: pickOther },
  { share: 1, pick: pickOwn },
  { share: 1, pick: pickUnreachable },
  { share: 1, pick: pickFailed },
];

/**
 * Chooses the partner of the next exchange: a kind of daemon, see `PICKERS`,
 * then one of that kind at random; null if no other daemon is known. The choice
 * is uniform over the full directory. Partial views with ageing spread changes
 * as fast, but cost more bytes and forget the other side of a partition that
 * outlasts the maximum age, see `bench/partner_choice.ts`.
 */
export function choosePartner(
  directory: Directory,
  random: Random,
  now: number,
): string | null {
  for (const { share, pick } of PICKERS) {
    const address = random() < share ? pick(directory, random, now) : null;
    if (address !== null) return address;
  }
  return null;
}

function pickOwn(directory: Directory, random: Random): string | null {
  const { dataCentre } = directory.identity;
  return pickRandom(peersOf(directory).get(dataCentre) ?? [], random);
}

function pickOther(directory: Directory, random: Random): string | null {
  return pickIn(directory, otherDataCentres(directory), random);
}

function pickSilent(
  directory: Directory,
  random: Random,
  now: number,
): string | null {
  const others = otherDataCentres(directory);
  const contactAt = (name: string) =>
    directory.dataCentreContactAt.get(name) ?? 0;
  const [name] = others
    .filter((each) => now - contactAt(each) >= SILENCE_MS * others.length)
    .sort((one, two) => contactAt(one) - contactAt(two));
  if (name === undefined) return null;
  return pickRandom(untriedPeersIn(directory, name), random) ??
    pickIn(directory, [name], random);
}

function pickUnreachable(directory: Directory, random: Random): string | null {
  return pickIn(directory, [...directory.unreachable.keys()], random);
}

function pickFailing(directory: Directory, random: Random): string | null {
  const name = pickRandom([...directory.failedSinceContact.keys()], random);
  return name === null
    ? null
    : pickRandom(untriedPeersIn(directory, name), random);
}

function pickFailed(directory: Directory, random: Random): string | null {
  const failed = [...directory.tombstones.keys()].filter((address) => {
    const member = directory.members.get(address)!;
    return !isLive(member) && member.entry.state !== "gone";
  });
  return pickRandom(failed, random);
}

/** Returns the other data centres that are not unreachable. */
function otherDataCentres(directory: Directory): string[] {
  const { identity: { dataCentre }, unreachable } = directory;
  return [...peersOf(directory).keys()]
    .filter((name) => name !== dataCentre && !unreachable.has(name));
}

/**
 * Returns the members of a data centre that have not failed to answer since its
 * last contact.
 */
function untriedPeersIn(directory: Directory, name: string): string[] {
  const failed = directory.failedSinceContact.get(name);
  return (peersOf(directory).get(name) ?? [])
    .filter((address) => !failed?.has(address));
}

function pickIn(
  directory: Directory,
  names: string[],
  random: Random,
): string | null {
  const name = pickRandom(names, random);
  return name === null
    ? null
    : pickRandom(peersOf(directory).get(name) ?? [], random);
}

function pickRandom(list: readonly string[], random: Random): string | null {
  return list[Math.floor(random() * list.length)] ?? null;
}
