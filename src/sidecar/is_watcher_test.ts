import test from "ava";
import { isWatcher } from "./is_watcher.ts";

const daemon = (name: string, storeReachable = true) => ({
  name,
  storeReachable,
});
const fleet = ["a", "b", "c", "d"].map((name) => daemon(name));
const watchers = (daemons: { name: string; storeReachable: boolean }[]) =>
  daemons.filter((self) =>
    isWatcher(self, daemons.filter((other) => other !== self))
  ).map(({ name }) => name);

test("only the first two daemons of a data centre watch the store", (t) => {
  t.deepEqual(watchers(fleet), ["a", "b"]);
});

test("the next daemon takes over from a watcher that lost the store", (t) => {
  t.deepEqual(watchers([daemon("a", false), ...fleet.slice(1)]), [
    "a",
    "b",
    "c",
  ]);
});

test("a daemon without neighbours watches the store", (t) => {
  t.true(isWatcher(daemon("z"), []));
});
