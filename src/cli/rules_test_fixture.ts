import "reflect-metadata";
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { createServer } from "node:http";
import type { AddressInfo } from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { createMemoryObjects } from "../../standin/create_memory_objects.ts";
import { createMemoryTable } from "../../standin/create_memory_table.ts";
import { createContainer } from "../daemon/create_container.ts";
import { localApp } from "../daemon/local_app.ts";
import { ContainerToken } from "../daemon/container_token.ts";
import { agreement, configuration } from "../library.ts";
import { fixture } from "../rules/test_fixture.ts";
import { parseSettings } from "../settings/parse_settings.ts";
import { run } from "./run.ts";
import { signingHandlers } from "./signing_handlers.ts";

const { departmentKeys, privateKey } = fixture;
const DEPARTMENTS = Object.entries(departmentKeys).map(([name, key]) =>
  `[department.${name}]\npublic-key = ${key}\n`
).join("");
const SETTINGS = `[daemon]
address = 127.0.0.1
ingress-port = 7000
peer-port = 7001
local-port = 7002
data-centre = suva
region = viti-levu
installation-key = ${"k".repeat(32)}
${DEPARTMENTS}`;

/** Fixture for tests of the rules commands against local listeners of daemons. */
export const rulesFixture = {
  setUp,
  terms,
  agreementTerms: agreementTerms(),
  changeIdOf,
};

function agreementTerms() {
  return agreement("fair", ["collective", "harvest"])
    .shares("*", { collective: 2, harvest: 1 }).print();
}

function terms(retries: number) {
  return configuration("collective").service(
    "bookings",
    (service) => service.request("reserve", { retries }),
  ).print();
}

/** Runs commands against local listeners of daemons that share one store. */
async function setUp() {
  const directory = mkdtempSync(join(tmpdir(), "nutmegmoor-"));
  const write = (name: string, text: string) => {
    writeFileSync(join(directory, name), text);
    return join(directory, name);
  };
  const keys = Object.fromEntries(
    Object.keys(departmentKeys).map((name) => [
      name,
      write(
        `${name}.pem`,
        String(privateKey(name).export({ format: "pem", type: "pkcs8" })),
      ),
    ]),
  );
  const table = createMemoryTable();
  const objects = createMemoryObjects();
  const daemons = await Promise.all([
    startLocalListener({ table, objects }),
    startLocalListener({ table, objects }),
  ]);
  const [first] = daemons;
  const command = async (...args: string[]) => {
    let [out, err] = ["", ""];
    const status = await run(["rules", ...args], {
      out: (text) => out += text,
      err: (text) => err += text,
      rules: signingHandlers,
      startDaemon: () => Promise.reject(new Error("not used")),
      onEndSignal: () => {},
    });
    return { status, out, err };
  };
  const file = (name: string, printed: ReturnType<typeof terms>) =>
    write(name, printed.ok ? printed.value : "");
  const credentials = (department: string) => [
    ...["--department", department, "--key", keys[department]!],
    ...["--daemon", first!.address],
  ];
  const submit = (path: string, ...more: string[]) =>
    command("submit", path, ...credentials("collective"), ...more);
  const verify = (paths: string[], ...addresses: string[]) =>
    command(
      ...["verify", ...paths, "--department", "collective"],
      ...["--public-key", departmentKeys.collective!],
      ...addresses.flatMap((address) => ["--daemon", address]),
    );
  const end = () => {
    for (const { close } of daemons) close();
    rmSync(directory, { recursive: true });
  };
  const addresses = daemons.map(({ address }) => address);
  const poll = () => Promise.all(daemons.map(({ keeper }) => keeper.poll()));
  const context = { table, addresses, poll, keys, credentials, file, end };
  return { ...context, command, submit, verify };
}

async function startLocalListener(
  stores: { table: ReturnType<typeof createMemoryTable> } & {
    objects: ReturnType<typeof createMemoryObjects>;
  },
) {
  const settings = parseSettings(SETTINGS);
  if (!settings.ok) throw new Error(JSON.stringify(settings.issues));
  const parts = createContainer(settings.value);
  parts.register(ContainerToken.platform, {
    useValue: { stores, close: () => Promise.resolve() },
  });
  const server = createServer(localApp({ parts, leave: () => {} }));
  await new Promise<void>((resolve) =>
    server.listen(0, "127.0.0.1", () => resolve())
  );
  const { port } = server.address() as AddressInfo;
  return {
    address: `127.0.0.1:${port}`,
    keeper: parts.resolve(ContainerToken.rulesUpdater),
    close: () => server.close(),
  };
}

function changeIdOf(text: string): string {
  return /Change ([\w-]+):/.exec(text)?.[1] ?? "";
}
