// Prints the memory of a process that holds the state of one daemon; started
// by bench/capacity.ts, as a bundle. Arguments: state file, number of entries,
// V8 flags to set at the start.
import "reflect-metadata";
import { readFileSync } from "node:fs";
import process from "node:process";
import { setFlagsFromString } from "node:v8";
import { run } from "../../src/cli/run.ts";
import { createContainer } from "../../src/daemon/create_container.ts";
import { openListeners } from "../../src/daemon/open_listeners.ts";
import { ContainerToken } from "../../src/daemon/container_token.ts";
import { candidates } from "../../src/membership/candidates.ts";
import { merge } from "../../src/membership/merge.ts";
import { applySnapshot } from "../../src/rules/apply_snapshot.ts";
import { Snapshot } from "../../src/rules/snapshot.ts";
import { parseSettings } from "../../src/settings/parse_settings.ts";
import { collectGarbage } from "../membership/collect_garbage.ts";

/** Services that the backend server of one daemon calls. */
const CALLED_SERVICES = 20;

function settingsOf(keys: Record<string, string>): string {
  const departments = Object.entries(keys).map(([name, key]) =>
    `[department.${name}]\npublic-key = ${key}\n`
  );
  return `[daemon]
address = 127.0.78.1
ingress-port = 7000
peer-port = 7001
local-port = 7002
local-address = 127.0.78.1
data-centre = data-centre-0
region = region-0
installation-key = an installation key of the bench only
${departments.join("")}`;
}

function print(label: string): void {
  const { rss, heapUsed, heapTotal, external } = process.memoryUsage();
  const fields = { rss, heapTotal, heapUsed, external };
  const text = Object.entries(fields).map(([name, bytes]) =>
    `${name}=${(bytes / 1e6).toFixed(1)}MB`
  );
  process.stdout.write(`  ${label}: ${text.join(" ")}\n`);
}

async function main(): Promise<void> {
  const [file, size, ...flags] = process.argv.slice(2);
  for (const flag of flags) setFlagsFromString(flag);
  if (typeof run !== "function") throw new Error("The program is not loaded");
  print("modules");
  const [keys, snapshot, ...messages] = readFileSync(file!, "utf8").split("\n");
  const settings = parseSettings(settingsOf(JSON.parse(keys!)));
  if (!settings.ok) throw new Error(JSON.stringify(settings.issues));
  const parts = createContainer(settings.value);
  const listeners = await openListeners(parts, { leave: () => {} });
  print("listeners");
  const rules = parts.resolve(ContainerToken.rules);
  const state = Snapshot.parse(JSON.parse(snapshot!));
  const { issues } = applySnapshot(rules, state, 0);
  if (issues.length > 0) throw new Error(JSON.stringify(issues));
  print("rules");
  const directory = parts.resolve(ContainerToken.directory);
  let left = Number(size);
  for (const message of messages) {
    if (left > 0) merge(directory, JSON.parse(message).slice(0, left), 0);
    left = Number(size) - directory.members.size + 1;
    directory.updates.clear();
  }
  for (let service = 0; service < CALLED_SERVICES; service++) {
    candidates(directory, `service-${service}`);
  }
  print(`${directory.members.size - 1} entries`);
  collectGarbage();
  print("after collection");
  await listeners.ingress.close();
  process.exit();
}

main();
