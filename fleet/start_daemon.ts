import { writeFileSync } from "node:fs";
import { join } from "node:path";
import process from "node:process";
import type { Member } from "./member.ts";
import { formatSettings } from "./format_settings.ts";
import { spawnMember } from "./spawn_member.ts";

type Vm = Parameters<typeof formatSettings>[0] & {
  directory: string;
  service: string;
  /** Program and arguments that precede the `daemon` command. */
  program: string[];
};

/** Writes the settings file of a VM's daemon and starts the daemon. */
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
