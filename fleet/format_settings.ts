import type { Deployment } from "../deployments/deployment.ts";
import { Ports } from "./ports.ts";

/** What goes into the settings file of one daemon. */
type Values = {
  deployment: Deployment;
  host: string;
  dataCentre: string;
  peers: string[];
  publicKey: string;
  /** Address of the stand-ins of the platform. */
  platform: string;
  /** Namespaces of `debug`, or empty. */
  log: string;
};

/** Returns the settings file of one daemon of a fleet. */
export function formatSettings(values: Values): string {
  return `[daemon]
address = ${values.host}
ingress-port = ${Ports.ingress}
peer-port = ${Ports.peer}
local-port = ${Ports.local}
local-address = ${values.host}
data-centre = ${values.dataCentre}
region = ${values.deployment.name}
peers = ${values.peers.map((peer) => `${peer}:${Ports.peer}`).join(", ")}
installation-key = an installation key of the test fleet only

[platform]
table-service = http://${values.platform}:${Ports.tableService}
object-store = http://${values.platform}:${Ports.objectStore}
access-key = fleet
secret-key = fleet-secret

[department.${values.deployment.department}]
public-key = ${values.publicKey}

[log]
namespaces = ${values.log}
`;
}
