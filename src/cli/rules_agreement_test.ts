import test from "ava";
import fc from "fast-check";
import { rulesFixture } from "./rules_test_fixture.ts";

const { changeIdOf, agreementTerms, setUp } = rulesFixture;

test("an agreement takes effect with the last signature, in any order", async (t) => {
  const orders = fc.shuffledSubarray(["collective", "harvest"], {
    minLength: 2,
  });
  await fc.assert(
    fc.asyncProperty(orders, fc.boolean(), async ([one, two], lost) => {
      const { command, credentials, table, file, addresses, end } =
        await setUp();
      const path = file("fair.json", agreementTerms);
      if (lost) table.transactionFaults = ["response-lost"];
      const first = await command("submit", path, ...credentials(one!));
      t.is(first.status, 10, first.err);
      t.regex(first.out, new RegExp(`not in effect before ${two}`));
      const id = changeIdOf(first.out);
      const [, digest = ""] = /--digest (\w+)/.exec(first.out) ?? [];
      const other = ["--digest", "0".repeat(64)];
      t.is(
        (await command("approve", id, ...credentials(two!), ...other)).status,
        2,
      );
      t.is((await command("approve", id, ...credentials("rival"))).status, 2);
      t.is((await command("approve", id, ...credentials(one!))).status, 10);
      const last = await command(
        "approve",
        id,
        ...credentials(two!),
        "--digest",
        digest,
      );
      t.is(last.status, 0, last.err);
      t.regex(last.out, /"shares": \[/);
      t.is((await command("approve", id, ...credentials(one!))).status, 9);
      const shown = await command("show", "--daemon", addresses[0]!);
      t.regex(shown.out, /fair@\w+ +1 /);
      end();
    }),
    { numRuns: 8 },
  );
});

test("concurrent signatures of departments are all kept", async (t) => {
  const { command, credentials, table, file, end } = await setUp();
  const path = file("fair.json", agreementTerms);
  const id = "shared-id";
  const ids = ["--change", id];
  table.beforeTransaction = () =>
    command("submit", path, ...credentials("harvest"), ...ids);
  const late = await command(
    "submit",
    path,
    ...credentials("collective"),
    ...ids,
  );
  t.is(late.status, 0, late.err);
  t.is(
    (await command("approve", "unknown-id", ...credentials("harvest"))).status,
    2,
  );
  end();
});

test("a pending agreement superseded by another reports a conflict", async (t) => {
  const { command, credentials, file, end } = await setUp();
  const path = file("fair.json", agreementTerms);
  const pending = await command("submit", path, ...credentials("collective"));
  const other = await command("submit", path, ...credentials("harvest"));
  const winner = changeIdOf(other.out);
  t.is(
    (await command("approve", winner, ...credentials("collective"))).status,
    0,
  );
  const id = changeIdOf(pending.out);
  const late = await command("approve", id, ...credentials("harvest"));
  t.is(late.status, 4);
  t.true(late.err.includes(`change ${winner} made version 1`));
  end();
});
