import test from "ava";
import { findStalled } from "./find_stalled.ts";
import { classifyStalled } from "./classify_stalled.ts";
import type { RemoteAttempt } from "./remote_attempt.ts";

function remote(changes: Partial<RemoteAttempt>): RemoteAttempt {
  return {
    attemptId: "a.1",
    address: "127.0.0.1:1",
    sent: true,
    progressAt: 0,
    paused: false,
    stallTimeoutMs: 1_000,
    probing: false,
    lose: () => {},
    ...changes,
  };
}

test("an attempt paused by a slow reader is not stalled", (t) => {
  const slow = remote({ paused: true });
  t.is(findStalled([slow, remote({ progressAt: 500 })], 1_200).size, 0);
  t.is(findStalled([remote({})], 1_200).get("127.0.0.1:1")?.length, 1);
});

// Otherwise the daemon, which doesn't know it, would have it taken for lost.
test("an attempt that waits for a connection is not stalled", (t) => {
  t.is(findStalled([remote({ sent: false })], 60_000).size, 0);
});

test("a running attempt is waited for with twice the time-out", (t) => {
  const running = new Set(["a.1"]);
  const slow = remote({});
  t.is(classifyStalled(slow, { probedAt: 1_000, running }, 1_100), "wait");
  t.is(slow.stallTimeoutMs, 2_000);
  t.is(findStalled([slow], 2_500).size, 0);
});

test("a finished or unreachable attempt without progress is dead", (t) => {
  const finished = { probedAt: 1_000, running: new Set<string>() };
  t.is(classifyStalled(remote({}), finished, 1_100), "dead");
  const unreachable = { probedAt: 1_000, running: null };
  t.is(classifyStalled(remote({}), unreachable, 1_600), "dead");
});

test("an attempt with progress during the probe is kept", (t) => {
  const finished = { probedAt: 1_000, running: new Set<string>() };
  const late = remote({ progressAt: 1_050 });
  t.is(classifyStalled(late, finished, 1_100), "wait");
});
