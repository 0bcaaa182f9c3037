import type { Deployment } from "../deployments/deployment.ts";
import type { Member } from "./member.ts";

/** Processes of an installation on loopback addresses. */
export type Fleet = {
  deployment: Deployment;
  members: Member[];
  /** Directory with the settings files. */
  directory: string;
  /** Address of the stand-ins for the platform's table service and object store. */
  platform: string;
  /** Program and arguments that precede the `daemon` command. */
  program: string[];
  /** `debug` namespaces that the daemons log. */
  log: string;
  /** Signing keys of the department, in base64. */
  keys: { publicKey: string; privateKey: string };
};
