import test from "ava";
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import process from "node:process";
import { setTimeout as delay } from "node:timers/promises";
import { endMember } from "../fleet/end_member.ts";
import { getJson } from "../fleet/get_json.ts";
import { spawnMember } from "../fleet/spawn_member.ts";
import { run } from "../src/cli/run.ts";
import { signingHandlers } from "../src/cli/signing_handlers.ts";
import { agreement, configuration } from "../src/library.ts";
import { startObjectStore } from "../standin/start_object_store.ts";
import { startTableService } from "../standin/start_table_service.ts";

const PROGRAM = ["--import=tsx", "src/main.ts"];
const RETRY_MS = 200;
// Derived from the process id, so that concurrent runs of this test use different
// addresses.
const NETWORK = `127.${128 + process.pid % 64}.${(process.pid >> 6) % 256}`;

async function nutmegmoor(...args: string[]) {
  let [out, err] = ["", ""];
  const status = await run(args, {
    out: (text) => out += text,
    err: (text) => err += text,
    rules: signingHandlers,
    startDaemon: () => Promise.reject(new Error("not used")),
    onEndSignal: () => {},
  });
  return { status, out, err };
}

/** Repeats a command that exceeds its time limits on a slow machine. */
async function settle(...args: string[]) {
  for (;;) {
    const ended = await nutmegmoor(...args);
    if (![3, 5, 6].includes(ended.status)) return ended;
    const change = /submit again with --change ([\w-]+)/.exec(ended.err)?.[1];
    const again = change !== undefined && !args.includes("--change");
    if (again && args[1] === "submit") args.push("--change", change);
    await delay(RETRY_MS);
  }
}

function startDaemon(
  { host, platform, departments }: {
    host: string;
    platform: { table: string; objects: string };
    departments: Record<string, string>;
  },
  directory: string,
) {
  const file = join(directory, `${host}.ini`);
  const keys = Object.entries(departments).map(([name, line]) =>
    `[department.${name}]\n${line}`
  );
  writeFileSync(
    file,
    `[daemon]
address = ${host}
ingress-port = 7000
peer-port = 7001
local-port = 7002
local-address = ${host}
data-centre = suva
region = viti-levu
installation-key = an installation key of this test only
[platform]
table-service = ${platform.table}
object-store = ${platform.objects}
access-key = test
secret-key = test-secret
[log]
namespaces = nutmegmoor:daemon
${keys.join("")}`,
  );
  return spawnMember({
    ...{ name: host, kind: "daemon", service: "", dataCentre: "suva", host },
    command: process.execPath,
    args: [...PROGRAM, "daemon", "--settings", file],
    ready: /listening/,
  });
}

test("an operator's session with two daemon processes succeeds", async (t) => {
  const directory = mkdtempSync(join(tmpdir(), "nutmegmoor-"));
  const path = (name: string) => join(directory, name);
  const options = { address: "127.0.0.1", port: 0, accessKey: "test" };
  const table = await startTableService(options);
  const objects = await startObjectStore(options);
  const fault = (mode: string, count?: number) =>
    getJson(`${table.origin}/-/control`, { mode, count });
  const departments: Record<string, string> = {};
  for (const name of ["collective", "harvest-loaf"]) {
    const made = await nutmegmoor("rules", "keygen", "--out", path(name));
    departments[name] = made.out;
  }
  const platform = { table: table.origin, objects: objects.origin };
  const hosts = [1, 2].map((vm) => `${NETWORK}.${vm}`);
  const members = await Promise.all(
    hosts.map((host) =>
      startDaemon({ host, platform, departments }, directory)
    ),
  );
  t.teardown(async () => {
    await Promise.all(members.map((member) => endMember(member)));
    await Promise.all([table.close(), objects.close()]);
    rmSync(directory, { recursive: true });
  });
  const daemon = ["--daemon", `${hosts[0]}:7002`];
  const as = (name: string) => [
    ...["--department", name, "--key", path(name)],
    ...daemon,
  ];
  const rules = configuration("collective").service(
    "bookings",
    (bookings) => bookings.request("reserve", { retries: 3 }),
  ).print();
  writeFileSync(path("rules.json"), rules.ok ? rules.value : "");
  await fault("lose-response", 1);
  const submitted = await settle(
    ...["rules", "submit", path("rules.json"), ...as("collective")],
  );
  t.true([0, 9].includes(submitted.status), submitted.err);
  const id = /Change ([\w-]+):/.exec(submitted.out)![1]!;
  const again = ["--change", id];
  const repeated = await settle(
    ...["rules", "submit", path("rules.json"), ...as("collective"), ...again],
  );
  t.is(repeated.status, 9, repeated.err);
  const shares = agreement("fair", ["collective", "harvest-loaf"])
    .shares("*", { "collective": 1, "harvest-loaf": 1 }).print();
  writeFileSync(path("fair.json"), shares.ok ? shares.value : "");
  const pending = await settle(
    ...["rules", "submit", path("fair.json"), ...as("harvest-loaf")],
  );
  t.is(pending.status, 10, pending.err);
  const [, change = ""] = /Change ([\w-]+):/.exec(pending.out) ?? [];
  const approve = ["rules", "approve", change, ...as("collective")];
  await fault("down");
  t.is((await nutmegmoor(...approve)).status, 6);
  await fault("up");
  const approved = await settle(...approve);
  t.true([0, 9].includes(approved.status), approved.err);
  // The second daemon gets the change from its peer or from the store.
  const both = [path("rules.json@1"), path("fair.json@1")];
  const key = departments.collective!.replace("public-key = ", "").trim();
  const verify = () =>
    nutmegmoor(
      ...["rules", "verify", ...both, "--department", "collective"],
      ...["--public-key", key, "--members", ...daemon],
    );
  let verified = await verify();
  while (verified.status !== 0 || !verified.out.includes(hosts[1]!)) {
    t.true([0, 1, 3].includes(verified.status), verified.err);
    await delay(RETRY_MS);
    verified = await verify();
  }
  for (const host of hosts) {
    t.regex(verified.out, new RegExp(`^${host}:7001 +same$`, "m"));
  }
});
