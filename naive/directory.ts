import type { Announcement } from "../src/membership/announcement.ts";

/** What a naive daemon knows of the backend servers. */
export type Directory = {
  /** Address of the own peer listener. */
  address: string;
  dataCentre: string;
  /** By address of the daemon; entries are never removed. */
  members: Map<string, Entry>;
  /** Next server of each service, for round robin. */
  nextIndices: Map<string, number>;
};

type Entry = { address: string; dataCentre: string; server: Announcement };
