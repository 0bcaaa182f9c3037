import type { Deployment } from "../deployments/deployment.ts";
import type { Member } from "./member.ts";

/** Processes of an installation on this machine. */
export type Fleet = {
  deployment: Deployment;
  members: Member[];
  /** Directory with the settings files. */
  directory: string;
  /** Address of the stand-ins of the platform. */
  platform: string;
  /** Program and arguments of a daemon, before `daemon`. */
  program: string[];
  /** Namespaces of `debug`. */
  log: string;
  /** Keys of the department, base64. */
  keys: { publicKey: string; privateKey: string };
};
