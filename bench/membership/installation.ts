import { createDirectory } from "../../src/membership/create_directory.ts";
import type { Directory } from "../../src/membership/directory.ts";
import type { Entry } from "../../src/membership/entry.ts";
import { merge } from "../../src/membership/merge.ts";
import { peersOf } from "../../src/membership/peers_of.ts";
import { createEntry } from "../capacity/create_entry.ts";
import { LayeredMap } from "./layered_map.ts";

type Installation = {
  all: Directory[];
  /** The position of each daemon by its address. */
  positions: Map<string, number>;
  /** Live addresses by data centre, shared by all to save memory. */
  peers: Map<string, string[]>;
};

/** Creates daemons that all know each other and have no news. */
export function createInstallation(size: number): Installation {
  const entries = Array.from(
    { length: size },
    (_, index) => createEntry(index),
  );
  const observer = createDirectory(
    { address: "observer:1", dataCentre: "data-centre-0", instance: "o" },
    0,
  );
  merge(observer, entries, 0);
  const peers = new Map(peersOf(observer)) as Map<string, string[]>;
  const members = new Map(observer.members);
  members.delete("observer:1");
  const all = entries.map((entry) => {
    const { address, dataCentre, instance, incarnation } = entry;
    const directory = createDirectory(
      { address, dataCentre, instance, incarnation },
      0,
    );
    directory.announcement = {
      ...entry.server!,
      address: "127.0.0.1:8000",
      connections: 750,
      state: "up",
      sheds: true,
      echoes: true,
    };
    // Servers stay announced although the bench sends no heartbeats.
    directory.heartbeatAt = Infinity;
    directory.members = LayeredMap.over(members);
    directory.updates.clear();
    directory.liveCount = size;
    return directory;
  });
  copyDigests(entries, all);
  const positions = new Map(
    entries.map(({ address }, index) => [address, index]),
  );
  return { all, positions, peers };
}

/** Gives every directory the digests of one that merged all entries. */
function copyDigests(entries: Entry[], all: Directory[]): void {
  const { dataCentre, instance } = entries[0]!;
  const whole = createDirectory(
    { address: "whole:1", dataCentre, instance },
    0,
  );
  const own = whole.dataCentreDigests.get(dataCentre)!;
  own.digest = 0;
  own.buckets.fill(0);
  whole.digest = 0;
  merge(whole, entries, 0);
  for (const directory of all) {
    directory.digest = whole.digest;
    directory.dataCentreDigests = new Map(
      [...whole.dataCentreDigests].map(([name, centre]) => [name, {
        digest: centre.digest,
        buckets: centre.buckets.slice(),
      }]),
    );
  }
}
