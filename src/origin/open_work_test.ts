import test from "ava";
import type { OpenCall } from "./open_call.ts";
import { openWorkOf } from "./open_work_of.ts";

const call = (id: string, root: boolean | undefined, startedAt: number) =>
  ({
    request: { id },
    route: { name: "r" },
    root,
    startedAt,
    target: id === "b" ? { serverId: "i-1" } : null,
  }) as OpenCall;

test("open work counts client requests and nested calls apart", (t) => {
  const open = [
    call("a", true, 30),
    call("b", false, 10),
    call("c", false, 20),
  ];
  const { clients, nested } = openWorkOf(open, 100);
  t.deepEqual({ clients, nested }, { clients: 1, nested: 2 });
});

test("a call of unknown origin counts as a client request", (t) => {
  t.is(openWorkOf([call("a", undefined, 0)], 1).clients, 1);
});

test("open work names the oldest call", (t) => {
  const open = [
    call("a", true, 30),
    call("b", false, 10),
    call("c", false, 20),
  ];
  t.deepEqual(openWorkOf(open, 100).oldest, {
    id: "b",
    route: "r",
    server: "i-1",
    ms: 90,
  });
  t.is(openWorkOf([], 100).oldest, null);
});
