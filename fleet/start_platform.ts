import process from "node:process";
import type { Member } from "./member.ts";
import { Ports } from "./ports.ts";
import { spawnMember } from "./spawn_member.ts";

/** Starts the stand-ins for the platform's table service and object store. */
export function startPlatform(host: string): Promise<Member[]> {
  const start = (name: string, script: string, port: number) =>
    spawnMember({
      name,
      kind: "platform",
      service: name,
      dataCentre: "",
      host,
      command: process.execPath,
      args: ["--import=tsx", script, host, String(port), "fleet"],
      ready: /listening/,
    });
  return Promise.all([
    start("table", "standin/table_service_main.ts", Ports.tableService),
    start("objects", "standin/object_store_main.ts", Ports.objectStore),
  ]);
}
