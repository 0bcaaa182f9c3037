import test from "ava";
import { isReportDue } from "./is_report_due.ts";

const busy = { load: 0.9, runMs: 50, at: 0, requestedAt: 900 };

test("an active peer is told of a changed load at the short interval", (t) => {
  t.false(isReportDue(busy, { load: 1.2, runMs: 50, links: 11 }, 100));
  t.true(isReportDue(busy, { load: 1.2, runMs: 50, links: 11 }, 1_000));
});

test("an idle peer is not told of a changed load at the short interval", (t) => {
  const idle = { ...busy, at: 900, requestedAt: -5_000 };
  t.false(isReportDue(idle, { load: 1.2, runMs: 50, links: 11 }, 1_100));
});

test("the interval for idle peers grows with the number of links", (t) => {
  const idle = { ...busy, at: 0, requestedAt: -5_000 };
  t.false(isReportDue(idle, { load: 1.2, runMs: 50, links: 299 }, 5_000));
  t.true(isReportDue(idle, { load: 1.2, runMs: 50, links: 299 }, 6_000));
});

test("a drop from a high load to a low one is reported", (t) => {
  const idle = { ...busy, at: 900, requestedAt: -5_000 };
  t.true(isReportDue(idle, { load: 0, runMs: 50, links: 11 }, 60_000));
});

test("a change between low loads is not reported", (t) => {
  t.false(
    isReportDue(
      { ...busy, load: 0.1 },
      { load: 0.5, runMs: 50, links: 11 },
      9_000,
    ),
  );
});

test("only a large change of the run time is reported", (t) => {
  t.true(isReportDue(busy, { load: 0.9, runMs: 90, links: 11 }, 9_000));
  t.false(isReportDue(busy, { load: 0.9, runMs: 55, links: 11 }, 9_000));
});
