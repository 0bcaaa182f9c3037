import "reflect-metadata";
import test from "ava";
import fc from "fast-check";
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { createServer } from "node:http";
import type { AddressInfo } from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { createMemoryObjects } from "../../standin/memory_objects.ts";
import { createMemoryTable } from "../../standin/memory_table.ts";
import { createContainer } from "../daemon/create_container.ts";
import { localApp } from "../daemon/local_app.ts";
import { Token } from "../daemon/token.ts";
import { agreement, configuration } from "../library.ts";
import { fixture } from "../rules/test_fixture.ts";
import { parseSettings } from "../settings/parse_settings.ts";
import { run } from "./run.ts";
import { signedRules } from "./signed_rules.ts";

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

const fair = agreement("fair", ["collective", "harvest"])
  .shares("*", { collective: 2, harvest: 1 }).print();

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
    startPart({ table, objects }),
    startPart({ table, objects }),
  ]);
  const [first] = daemons;
  const command = async (...args: string[]) => {
    let [out, err] = ["", ""];
    const status = await run(["rules", ...args], {
      out: (text) => out += text,
      err: (text) => err += text,
      rules: signedRules,
      startDaemon: () => Promise.reject(new Error("not used")),
      onEndSignal: () => {},
    });
    return { status, out, err };
  };
  const file = (name: string, printed: ReturnType<typeof terms>) =>
    write(name, printed.ok ? printed.value : "");
  const as = (department: string) => [
    ...["--department", department, "--key", keys[department]!],
    ...["--daemon", first!.address],
  ];
  const submit = (path: string, ...more: string[]) =>
    command("submit", path, ...as("collective"), ...more);
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
  const world = { table, addresses, poll, keys, as, file, end };
  return { ...world, command, submit, verify };
}

async function startPart(
  stores: { table: ReturnType<typeof createMemoryTable> } & {
    objects: ReturnType<typeof createMemoryObjects>;
  },
) {
  const settings = parseSettings(SETTINGS);
  if (!settings.ok) throw new Error(JSON.stringify(settings.issues));
  const parts = createContainer(settings.value);
  parts.register(Token.platform, {
    useValue: { stores, close: () => Promise.resolve() },
  });
  const server = createServer(localApp({ parts, leave: () => {} }));
  await new Promise<void>((resolve) =>
    server.listen(0, "127.0.0.1", () => resolve())
  );
  const { port } = server.address() as AddressInfo;
  return {
    address: `127.0.0.1:${port}`,
    keeper: parts.resolve(Token.keeper),
    close: () => server.close(),
  };
}

function changeIdOf(text: string): string {
  return /Change ([\w-]+):/.exec(text)?.[1] ?? "";
}

test("a submitted section is in effect at the daemon at once", async (t) => {
  const { submit, command, addresses, file, end } = await setUp();
  const submitted = await submit(file("one.json", terms(1)));
  t.is(submitted.status, 0, submitted.err);
  t.regex(submitted.out, /section collective accepted as version 1/);
  const shown = await command("show", "--daemon", addresses[0]!);
  t.regex(shown.out, /^Sequence 1, change [\w-]+, digest/);
  t.regex(shown.out, /collective +1 /);
  t.is((await submit(file("two.json", terms(2)))).status, 0);
  end();
});

test("a repeated submit after a lost response makes no second change", async (t) => {
  const { submit, table, file, end } = await setUp();
  const path = file("one.json", terms(1));
  const transact = table.transact;
  table.transact = async (writes) => {
    await transact(writes);
    table.transact = transact;
    table.down = true;
    return { kind: "unknown", message: "no response" };
  };
  const lost = await submit(path);
  t.is(lost.status, 5);
  t.regex(lost.err, /not known .* submit again with --change [\w-]+/);
  const again = [path, "--change", changeIdOf(lost.err)] as const;
  t.is((await submit(...again)).status, 5, "the store is still down");
  table.down = false;
  for (let round = 0; round < 2; round++) {
    const repeated = await submit(...again);
    t.is(repeated.status, 9, repeated.err);
    t.regex(repeated.out, /accepted before as version 1/);
  }
  t.is((await submit(file("two.json", terms(2)))).status, 0);
  t.is((await submit(...again)).status, 9, "a later change is in effect");
  const reused = [file("three.json", terms(3)), ...again.slice(1)] as const;
  t.is((await submit(...reused)).status, 4, "the id stands for other terms");
  const other = ["--section-version", "3", ...again.slice(1)];
  const taken = await submit(reused[0], ...other);
  t.is(taken.status, 11);
  t.regex(taken.err, /stands for version 1 .*\(change-id-taken\)/);
  end();
});

test("the later of two operators gets the winner's version and change", async (t) => {
  const { submit, table, file, end } = await setUp();
  let winner = "";
  table.before = async () => {
    winner = changeIdOf((await submit(file("one.json", terms(1)))).out);
  };
  const loser = await submit(file("two.json", terms(2)));
  t.is(loser.status, 4);
  t.true(loser.err.includes(`change ${winner} made version 1 of section`));
  const stale = ["--section-version", "1"];
  t.is((await submit(file("two.json", terms(2)), ...stale)).status, 4);
  end();
});

test("a store that is down and a daemon that is gone are told apart", async (t) => {
  const { submit, command, keys, table, file, end } = await setUp();
  const path = file("one.json", terms(1));
  table.down = true;
  const down = await submit(path);
  t.is(down.status, 6);
  t.regex(down.err, /not accepted: Table service is down/);
  t.is(table.rows.size, 0);
  const key = ["--department", "collective", "--key", keys.collective!];
  const gone = await command("submit", path, ...key, "--daemon", "127.0.0.1:1");
  t.is(gone.status, 3);
  t.regex(gone.err, /the daemon cannot be reached/);
  end();
});

test("a wrong private key, department or file accepts nothing", async (t) => {
  const { submit, command, as, keys, table, file, addresses, end } =
    await setUp();
  const path = file("one.json", terms(1));
  const daemon = ["--daemon", addresses[0]!];
  const wrong = ["--department", "collective", "--key", keys.rival!];
  const rejected = await command("submit", path, ...wrong, ...daemon);
  t.is(rejected.status, 11);
  t.regex(rejected.err, /no valid signature of collective/);
  const foreign = await command("submit", path, ...as("rival"));
  t.is(foreign.status, 2);
  t.regex(foreign.err, /\(not-a-signer\)/);
  const noKey = ["--department", "collective", "--key", path];
  t.is((await command("submit", path, ...noKey, ...daemon)).status, 2);
  t.is((await submit(keys.collective!)).status, 2);
  t.is(table.rows.size, 0);
  end();
});

test("the private key is in no request to the daemon", async (t) => {
  const { keys, end } = await setUp();
  const pem = readFileSync(keys.collective!, "utf8");
  const secret = pem.split("\n")[1]!;
  const printed = terms(1);
  const sent: string[] = [];
  const request = {
    department: "collective",
    privateKey: pem,
    changeId: null,
    version: 1,
  };
  await signedRules.submit({
    ...request,
    text: printed.ok ? printed.value : "",
    ask: (asked) => {
      sent.push(JSON.stringify(asked));
      return Promise.resolve({ kind: "unknown", message: "lost" });
    },
  });
  t.is(sent.length, 1);
  t.false(sent.join().includes(secret));
  end();
});

test("an agreement takes effect with the last signature in any order", async (t) => {
  const orders = fc.shuffledSubarray(["collective", "harvest"], {
    minLength: 2,
  });
  await fc.assert(
    fc.asyncProperty(orders, fc.boolean(), async ([one, two], lost) => {
      const { command, as, table, file, addresses, end } = await setUp();
      const path = file("fair.json", fair);
      if (lost) table.fates = ["response-lost"];
      const first = await command("submit", path, ...as(one!));
      t.is(first.status, 10, first.err);
      t.regex(first.out, new RegExp(`not in effect before ${two}`));
      const id = changeIdOf(first.out);
      const [, digest = ""] = /--digest (\w+)/.exec(first.out) ?? [];
      const other = ["--digest", "0".repeat(64)];
      t.is((await command("approve", id, ...as(two!), ...other)).status, 2);
      t.is((await command("approve", id, ...as("rival"))).status, 2);
      t.is((await command("approve", id, ...as(one!))).status, 10);
      const last = await command(
        "approve",
        id,
        ...as(two!),
        "--digest",
        digest,
      );
      t.is(last.status, 0, last.err);
      t.regex(last.out, /"shares": \[/);
      t.is((await command("approve", id, ...as(one!))).status, 9);
      const shown = await command("show", "--daemon", addresses[0]!);
      t.regex(shown.out, /fair@\w+ +1 /);
      end();
    }),
    { numRuns: 8 },
  );
});

test("departments that sign at the same time lose no signature", async (t) => {
  const { command, as, table, file, end } = await setUp();
  const path = file("fair.json", fair);
  const id = "shared-id";
  const ids = ["--change", id];
  table.before = () => command("submit", path, ...as("harvest"), ...ids);
  const late = await command("submit", path, ...as("collective"), ...ids);
  t.is(late.status, 0, late.err);
  t.is((await command("approve", "unknown-id", ...as("harvest"))).status, 2);
  end();
});

test("a pending agreement that was overtaken gets a conflict", async (t) => {
  const { command, as, file, end } = await setUp();
  const path = file("fair.json", fair);
  const pending = await command("submit", path, ...as("collective"));
  const other = await command("submit", path, ...as("harvest"));
  const winner = changeIdOf(other.out);
  t.is((await command("approve", winner, ...as("collective"))).status, 0);
  const id = changeIdOf(pending.out);
  const late = await command("approve", id, ...as("harvest"));
  t.is(late.status, 4);
  t.true(late.err.includes(`change ${winner} made version 1`));
  end();
});

test("verify names daemons that differ and those without an answer", async (t) => {
  const { submit, verify, poll, file, addresses, end } = await setUp();
  const [own, lagging] = addresses as [string, string];
  const one = file("one.json", terms(1));
  const two = file("two.json", terms(2));
  t.is((await submit(one)).status, 0);
  const late = await verify([one], own, lagging);
  t.is(late.status, 1);
  t.regex(late.out, new RegExp(`${own} +same`));
  t.regex(late.out, new RegExp(`${lagging} +differs +collective .* nothing`));
  await poll();
  t.is((await verify([one], own, lagging)).status, 0);
  t.is((await verify([`${one}@1`], own)).status, 0);
  t.is((await verify([`${one}@2`], own)).status, 1);
  t.regex((await verify([two], own)).out, /altered: version 1/);
  const partial = await verify([one], own, "127.0.0.1:1");
  t.is(partial.status, 3);
  t.regex(partial.out, /127\.0\.0\.1:1 +no answer/);
  end();
});

test("verify reports an agreement that no file was given for", async (t) => {
  const { command, as, verify, file, addresses, end } = await setUp();
  const path = file("fair.json", fair);
  const one = file("one.json", terms(1));
  await command("submit", one, ...as("collective"));
  const pending = await command("submit", path, ...as("collective"));
  await command("approve", changeIdOf(pending.out), ...as("harvest"));
  const [own] = addresses as [string];
  t.is((await verify([one, path], own)).status, 0);
  const missing = await verify([one], own);
  t.is(missing.status, 1);
  t.regex(missing.out, /fair@\w+ +nothing +version 1/);
  end();
});
