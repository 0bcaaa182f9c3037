import test from "ava";
import { createShedding } from "./create_shedding.ts";
import { recordLevel } from "./record_level.ts";
import { permits } from "./permits.ts";
import { permitsRetry } from "./permits_retry.ts";
import { decideShedding } from "./decide_shedding.ts";
import { sweepShedding } from "./sweep_shedding.ts";

const service = "bookings";

/** Returns state with reported levels of the daemons `a`, `b` and so on. */
function withLevels(...levels: number[]) {
  const shedding = createShedding();
  levels.forEach((level, index) =>
    recordLevel(shedding, { service, daemon: "abc"[index]!, level }, 0)
  );
  return shedding;
}

test("reported level decays and expires", (t) => {
  const shedding = withLevels(200);
  const query = { service, daemon: "a", priority: 120 };
  t.false(permits(shedding, query, 250));
  t.true(permits(shedding, query, 600));
  sweepShedding(shedding, 1000);
  t.is(shedding.levels.size, 0);
});

test("one in 50 requests below the level passes as a probe", (t) => {
  const shedding = withLevels(200);
  const query = { service, daemon: "a", priority: 100 };
  const permitted = Array.from(
    { length: 500 },
    () => permits(shedding, query, 0),
  );
  t.is(permitted.filter(Boolean).length, 10);
});

test("request that all daemons reject is shed at the source", (t) => {
  const shedding = withLevels(200, 150, 180);
  const daemons = ["a", "b", "c"];
  const query = { service, daemons, priority: 100 };
  const decisions = Array.from(
    { length: 100 },
    () => decideShedding(shedding, query, 0),
  );
  t.is(decisions.filter(({ kind }) => kind === "shed").length, 98);
  const probe = decisions.find(({ kind }) => kind === "probe");
  t.deepEqual(probe, { kind: "probe", exclude: new Set(["a", "c"]) });
  const open = decideShedding(shedding, { ...query, priority: 160 }, 0);
  t.deepEqual(open, { kind: "open", exclude: new Set(["a", "c"]) });
});

test("overload rejection is retried only where it is admitted", (t) => {
  const shedding = withLevels(100, 150);
  const retry = { service, priority: 160, rejectionLevel: 150 };
  t.true(permitsRetry(shedding, { ...retry, daemon: "a" }, 0));
  t.false(permitsRetry(shedding, { ...retry, daemon: "b" }, 0));
  t.false(permitsRetry(shedding, { ...retry, daemon: "a", priority: 90 }, 0));
});

test("levels of departments are kept apart", (t) => {
  const shedding = createShedding();
  const reporter = { service, daemon: "a" };
  recordLevel(shedding, { ...reporter, department: "flood", level: 120 }, 0);
  recordLevel(shedding, { ...reporter, department: "small", level: 0 }, 0);
  const query = { ...reporter, priority: 50 };
  t.false(permits(shedding, { ...query, department: "flood" }, 0));
  t.true(permits(shedding, { ...query, department: "small" }, 0));
});
