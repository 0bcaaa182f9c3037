import test from "ava";
import { readFileSync } from "node:fs";
import { rulesFixture } from "./rules_test_fixture.ts";
import { signingHandlers } from "./signing_handlers.ts";

const { changeIdOf, agreementTerms, setUp, terms } = rulesFixture;

test("a submitted section takes effect on the daemon immediately", async (t) => {
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

test("a submit repeated after a lost response creates no second change", async (t) => {
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
  t.is((await submit(...reused)).status, 4, "the id belongs to other terms");
  const other = ["--section-version", "3", ...again.slice(1)];
  const taken = await submit(reused[0], ...other);
  t.is(taken.status, 11);
  t.regex(taken.err, /stands for version 1 .*\(change-id-taken\)/);
  end();
});

test("a losing concurrent submit reports the winner's version and change", async (t) => {
  const { submit, table, file, end } = await setUp();
  let winner = "";
  table.beforeTransaction = async () => {
    winner = changeIdOf((await submit(file("one.json", terms(1)))).out);
  };
  const loser = await submit(file("two.json", terms(2)));
  t.is(loser.status, 4);
  t.true(loser.err.includes(`change ${winner} made version 1 of section`));
  const stale = ["--section-version", "1"];
  t.is((await submit(file("two.json", terms(2)), ...stale)).status, 4);
  end();
});

test("an unavailable store and an unreachable daemon have distinct statuses", async (t) => {
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

test("a wrong private key, department or file stores nothing", async (t) => {
  const { submit, command, credentials, keys, table, file, addresses, end } =
    await setUp();
  const path = file("one.json", terms(1));
  const daemon = ["--daemon", addresses[0]!];
  const wrong = ["--department", "collective", "--key", keys.rival!];
  const rejected = await command("submit", path, ...wrong, ...daemon);
  t.is(rejected.status, 11);
  t.regex(rejected.err, /no valid signature of collective/);
  const foreign = await command("submit", path, ...credentials("rival"));
  t.is(foreign.status, 2);
  t.regex(foreign.err, /\(not-a-signer\)/);
  const noKey = ["--department", "collective", "--key", path];
  t.is((await command("submit", path, ...noKey, ...daemon)).status, 2);
  t.is((await submit(keys.collective!)).status, 2);
  t.is(table.rows.size, 0);
  end();
});

test("no request to the daemon contains the private key", async (t) => {
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
  await signingHandlers.submit({
    ...request,
    text: printed.ok ? printed.value : "",
    send: (request) => {
      sent.push(JSON.stringify(request));
      return Promise.resolve({ kind: "unknown", message: "lost" });
    },
  });
  t.is(sent.length, 1);
  t.false(sent.join().includes(secret));
  end();
});

test("verify names daemons that differ and daemons that do not answer", async (t) => {
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

test("verify reports an agreement for which no file was given", async (t) => {
  const { command, credentials, verify, file, addresses, end } = await setUp();
  const path = file("fair.json", agreementTerms);
  const one = file("one.json", terms(1));
  await command("submit", one, ...credentials("collective"));
  const pending = await command("submit", path, ...credentials("collective"));
  await command("approve", changeIdOf(pending.out), ...credentials("harvest"));
  const [own] = addresses as [string];
  t.is((await verify([one, path], own)).status, 0);
  const missing = await verify([one], own);
  t.is(missing.status, 1);
  t.regex(missing.out, /fair@\w+ +nothing +version 1/);
  end();
});
