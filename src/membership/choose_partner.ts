import type { Random } from "../core/random.ts";
import type { Directory } from "./directory.ts";
import { isLive } from "./is_live.ts";
import { peersOf } from "./peers_of.ts";

/** Most changes matter to the own data centre, and its members are near. */
const OWN_SHARE = 0.8;
/** While a data centre fails, this share of rounds settles whether it is lost. */
const SAMPLE_SHARE = 0.5;
/** Bounds how long the return of a lost data centre goes unnoticed. */
const LOST_SHARE = 0.25;
/**
 * A data centre is tried once it was not heard from for this time, in ms, times
 * the number of other ones. Bounds how long its loss goes unnoticed, and takes
 * at most a fifth of the rounds, which are 2 s apart.
 */
const SILENCE_MS = 10_000;
/** Lets two parts of a data centre that failed each other meet again. */
const FAILED_SHARE = 0.03;

type Pick = (
  directory: Directory,
  random: Random,
  now: number,
) => string | null;

const PICKS: readonly { share: number; pick: Pick }[] = [
  { share: FAILED_SHARE, pick: pickFailed },
  { share: SAMPLE_SHARE, pick: pickFailing },
  { share: LOST_SHARE, pick: pickLost },
  { share: 1, pick: pickSilent },
  { share: OWN_SHARE, pick: pickOwn },
  { share: 1, pick: pickOther },
  { share: 1, pick: pickOwn },
  { share: 1, pick: pickLost },
  { share: 1, pick: pickFailed },
];

/**
 * Chooses the partner of the next exchange, uniformly from the full directory
 * within the chosen kind; null if no other daemon is known. Aged partial views
 * spread as fast but cost more bytes, and forget the other side of a partition
 * that outlasts their ages, see `bench/partner_choice.ts`.
 */
export function choosePartner(
  directory: Directory,
  random: Random,
  now: number,
): string | null {
  for (const { share, pick } of PICKS) {
    const address = random() < share ? pick(directory, random, now) : null;
    if (address !== null) return address;
  }
  return null;
}

function pickOwn(directory: Directory, random: Random): string | null {
  const { dataCentre } = directory.identity;
  return any(peersOf(directory).get(dataCentre) ?? [], random);
}

function pickOther(directory: Directory, random: Random): string | null {
  return pickIn(directory, othersOf(directory), random);
}

function pickSilent(
  directory: Directory,
  random: Random,
  now: number,
): string | null {
  const others = othersOf(directory);
  const heardAt = (name: string) =>
    directory.dataCentreContactAt.get(name) ?? 0;
  const [name] = others
    .filter((each) => now - heardAt(each) >= SILENCE_MS * others.length)
    .sort((one, two) => heardAt(one) - heardAt(two));
  if (name === undefined) return null;
  return any(untriedIn(directory, name), random) ??
    pickIn(directory, [name], random);
}

function pickLost(directory: Directory, random: Random): string | null {
  return pickIn(directory, [...directory.unreachable.keys()], random);
}

function pickFailing(directory: Directory, random: Random): string | null {
  const name = any([...directory.failedSinceContact.keys()], random);
  return name === null ? null : any(untriedIn(directory, name), random);
}

function pickFailed(directory: Directory, random: Random): string | null {
  const failed = [...directory.tombstones.keys()].filter((address) => {
    const member = directory.members.get(address)!;
    return !isLive(member) && member.entry.state !== "gone";
  });
  return any(failed, random);
}

/** Returns the other data centres that are not lost. */
function othersOf(directory: Directory): string[] {
  const { identity: { dataCentre }, unreachable: lost } = directory;
  return [...peersOf(directory).keys()]
    .filter((name) => name !== dataCentre && !lost.has(name));
}

/** Returns the members of a data centre that did not fail since its last answer. */
function untriedIn(directory: Directory, name: string): string[] {
  const failed = directory.failedSinceContact.get(name);
  return (peersOf(directory).get(name) ?? [])
    .filter((address) => !failed?.has(address));
}

function pickIn(
  directory: Directory,
  centres: string[],
  random: Random,
): string | null {
  const name = any(centres, random);
  return name === null ? null : any(peersOf(directory).get(name) ?? [], random);
}

function any(list: readonly string[], random: Random): string | null {
  return list[Math.floor(random() * list.length)] ?? null;
}
