import process from "node:process";
import type { Deployment } from "../deployments/deployment.ts";
import type { ServerSettings } from "../standin/server/server_settings.ts";
import type { Member } from "./member.ts";
import { Ports } from "./ports.ts";
import { spawnMember } from "./spawn_member.ts";

type Vm = {
  deployment: Deployment;
  service: string;
  dataCentre: string;
  host: string;
  /** Settings of the stand-in that override those of the deployment. */
  extra?: Partial<ServerSettings>;
};

/** Starts a stand-in backend server on a VM of the fleet. */
export function startServer(
  { deployment, service, dataCentre, host, extra }: Vm,
): Promise<Member> {
  const definition = deployment.services.find(({ name }) => name === service)!;
  const settings = {
    service,
    host,
    port: Ports.server,
    daemon: `${host}:${Ports.local}`,
    slots: definition.slots,
    connections: definition.connections,
    operations: definition.operations.map((
      { method, path, workMs, bytes, calls, parallel },
    ) => ({ method, path, workMs, bytes, calls, parallel })),
    ...extra,
  };
  return spawnMember({
    name: `server ${host}`,
    kind: "server",
    service,
    dataCentre,
    host,
    command: process.execPath,
    args: [
      "--import=tsx",
      "standin/server/main.ts",
      JSON.stringify(settings),
    ],
    ready: /listening/,
  });
}
