import test from "ava";
import fc from "fast-check";
import { rulesFixture } from "./rules_test_fixture.ts";

const { changeIdOf, fair, setUp } = rulesFixture;

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
