import test from "ava";
import { createShedding } from "./create_shedding.ts";
import { recordLevel } from "./record_level.ts";
import { permits } from "./permits.ts";
import { permitsRetry } from "./permits_retry.ts";
import { decideShedding } from "./decide_shedding.ts";
import { sweepShedding } from "./sweep_shedding.ts";

const service = "bookings";

/** Returns state that knows the levels of the daemons `a`, `b` and so on. */
function known(...levels: number[]) {
  const shedding = createShedding();
  levels.forEach((level, index) =>
    recordLevel(shedding, { service, daemon: "abc"[index]!, level }, 0)
  );
  return shedding;
}

test("level is believed after the overload is gone", (t) => {
  const shedding = known(200);
  const query = { service, daemon: "a", priority: 120 };
  t.false(permits(shedding, query, 250));
  t.true(permits(shedding, query, 600));
  sweepShedding(shedding, 1000);
  t.is(shedding.levels.size, 0);
});

test("fallen level is never noticed", (t) => {
  const shedding = known(200);
  const query = { service, daemon: "a", priority: 100 };
  const passed = Array.from({ length: 500 }, () => permits(shedding, query, 0));
  t.is(passed.filter(Boolean).length, 10);
});

test("request goes to a service that rejects it everywhere", (t) => {
  const shedding = known(200, 150, 180);
  const daemons = ["a", "b", "c"];
  const query = { service, daemons, priority: 100 };
  const kinds = Array.from(
    { length: 100 },
    () => decideShedding(shedding, query, 0),
  );
  t.is(kinds.filter(({ kind }) => kind === "shed").length, 98);
  const probe = kinds.find(({ kind }) => kind === "probe");
  t.deepEqual(probe, { kind: "probe", exclude: new Set(["a", "c"]) });
  const open = decideShedding(shedding, { ...query, priority: 160 }, 0);
  t.deepEqual(open, { kind: "open", exclude: new Set(["a", "c"]) });
});

test("overload rejection is retried where it will be rejected again", (t) => {
  const shedding = known(100, 150);
  const retry = { service, priority: 160, rejectionLevel: 150 };
  t.true(permitsRetry(shedding, { ...retry, daemon: "a" }, 0));
  t.false(permitsRetry(shedding, { ...retry, daemon: "b" }, 0));
  t.false(permitsRetry(shedding, { ...retry, daemon: "a", priority: 90 }, 0));
});

test("level of a modest department replaces that of a flooding one", (t) => {
  const shedding = createShedding();
  const place = { service, daemon: "a" };
  recordLevel(shedding, { ...place, department: "flood", level: 120 }, 0);
  recordLevel(shedding, { ...place, department: "modest", level: 0 }, 0);
  const query = { ...place, priority: 50 };
  t.false(permits(shedding, { ...query, department: "flood" }, 0));
  t.true(permits(shedding, { ...query, department: "modest" }, 0));
});
