import type { ChildProcess } from "node:child_process";

/** One process that the fleet has started. */
export type Member = {
  /** Such as `daemon bookings 1` or `server bookings 1`. */
  name: string;
  kind: "daemon" | "server" | "platform";
  service: string;
  dataCentre: string;
  /** IP address, the same for a daemon and its backend server. */
  host: string;
  command: string;
  args: string[];
  process: ChildProcess;
  /** Standard error, the last part of it. */
  log: string[];
};
