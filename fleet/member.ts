import type { ChildProcess } from "node:child_process";

/** A process of the fleet. */
export type Member = {
  /** Such as `daemon 127.71.1.1` or `server 127.71.1.1`. */
  name: string;
  kind: "daemon" | "server" | "platform";
  service: string;
  dataCentre: string;
  /** IP address, the same for a daemon and its backend server. */
  host: string;
  command: string;
  args: string[];
  process: ChildProcess;
  /** Latest chunks of standard output and standard error. */
  log: string[];
};
