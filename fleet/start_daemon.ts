import { writeFileSync } from "node:fs";
import { join } from "node:path";
import process from "node:process";
import type { Member } from "./member.ts";
import { formatSettings } from "./format_settings.ts";
import { spawnMember } from "./spawn_member.ts";

/** Which daemon to start. */
type Vm = Parameters<typeof formatSettings>[0] & {
  directory: string;
  service: string;
  /** Program and arguments before `daemon`. */
  program: string[];
};

/** Starts a daemon on a VM of the fleet. */
export function startDaemon(vm: Vm): Promise<Member> {
  const file = join(vm.directory, `${vm.host}.ini`);
  writeFileSync(file, formatSettings(vm));
  return spawnMember({
    name: `daemon ${vm.host}`,
    kind: "daemon",
    service: vm.service,
    dataCentre: vm.dataCentre,
    host: vm.host,
    command: process.execPath,
    args: [...vm.program, "daemon", "--settings", file],
    ready: /listening/,
  });
}
