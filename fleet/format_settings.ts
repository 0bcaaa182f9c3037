import type { Deployment } from "../deployments/deployment.ts";
import { Ports } from "./ports.ts";

/** Values of a daemon's settings file. */
type Values = {
  deployment: Deployment;
  host: string;
  dataCentre: string;
  peers: string[];
  publicKey: string;
  /** Address of the stand-ins for the platform's table service and object store. */
  platform: string;
  /** `debug` namespaces, or an empty string. */
  log: string;
};

/** Returns the text of a daemon's settings file. */
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
