import type { Deployment } from "../deployments/deployment.ts";
import type { Member } from "./member.ts";

/** Processes of an installation on this machine. */
export type Fleet = {
  deployment: Deployment;
  members: Member[];
  /** Directory with the settings files. */
  directory: string;
  /** Private key of the department, base64. */
  privateKey: string;
};
