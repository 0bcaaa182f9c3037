import { createDirectory } from "../../src/membership/create_directory.ts";
import type { Directory } from "../../src/membership/directory.ts";
import type { Entry } from "../../src/membership/entry.ts";
import { merge } from "../../src/membership/merge.ts";
import { peersOf } from "../../src/membership/peers_of.ts";
import { LayeredMap } from "./layered_map.ts";

const DATA_CENTRES = 10;
const SERVICES = 1_300;
/** A wall clock at the start, for realistic sizes of messages. */
const STARTED_MS = 1_764_841_328_000;

type Installation = {
  all: Directory[];
  /** The position of each daemon by its address. */
  positions: Map<string, number>;
  /** Live addresses by data centre, shared by all to save memory. */
  peers: Map<string, string[]>;
};

/** Returns an entry as a daemon of the installation writes it. */
function entryOf(index: number): Entry {
  return {
    address: `10.${index >> 16}.${(index >> 8) & 255}.${index & 255}:7001`,
    dataCentre: `data-centre-${index % DATA_CENTRES}`,
    incarnation: STARTED_MS + index * 997,
    sequence: 3,
    state: "up",
    instance: (index * 0x9e3779b97f4a7).toString(16).padStart(16, "0")
      .slice(0, 16),
    server: {
      service: `service-${index % SERVICES}`,
      slots: 110,
      warmupMs: 0,
    },
  };
}

/** Creates daemons that all know each other and have no news. */
export function createInstallation(size: number): Installation {
  const entries = Array.from({ length: size }, (_, index) => entryOf(index));
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
    directory.news.clear();
    directory.live = size;
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
  const own = whole.centres.get(dataCentre)!;
  own.digest = 0;
  own.buckets.fill(0);
  whole.digest = 0;
  merge(whole, entries, 0);
  for (const directory of all) {
    directory.digest = whole.digest;
    directory.centres = new Map(
      [...whole.centres].map(([name, centre]) => [name, {
        digest: centre.digest,
        buckets: centre.buckets.slice(),
      }]),
    );
  }
}
