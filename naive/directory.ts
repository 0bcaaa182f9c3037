import type { Announcement } from "../src/membership/announcement.ts";

/** Backend servers known to a naive daemon. */
export type Directory = {
  /** Address of the daemon's peer listener. */
  address: string;
  dataCentre: string;
  /** Entries by address of their daemon; they are never removed. */
  members: Map<string, Entry>;
  /** Round-robin counters by service. */
  nextIndices: Map<string, number>;
};

type Entry = { address: string; dataCentre: string; server: Announcement };
