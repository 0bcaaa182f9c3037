import test from "ava";
import { findStalled } from "./find_stalled.ts";
import { classifyStalled } from "./classify_stalled.ts";
import type { RemoteAttempt } from "./remote_attempt.ts";

function remote(changes: Partial<RemoteAttempt>): RemoteAttempt {
  return {
    attemptId: "a.1",
    address: "127.0.0.1:1",
    progressAt: 0,
    paused: false,
    stallTimeoutMs: 1_000,
    probing: false,
    lose: () => {},
    ...changes,
  };
}

test("a slow reader is taken for a stalled connection", (t) => {
  const slow = remote({ paused: true });
  t.is(findStalled([slow, remote({ progressAt: 500 })], 1_200).size, 0);
  t.is(findStalled([remote({})], 1_200).get("127.0.0.1:1")?.length, 1);
});

test("a running attempt is given up", (t) => {
  const running = new Set(["a.1"]);
  const slow = remote({});
  t.is(classifyStalled(slow, { askedAt: 1_000, running }, 1_100), "wait");
  t.is(slow.stallTimeoutMs, 2_000);
  t.is(findStalled([slow], 2_500).size, 0);
});

test("a dead connection is waited for", (t) => {
  const finding = { askedAt: 1_000, running: new Set<string>() };
  t.is(classifyStalled(remote({}), finding, 1_100), "dead");
  const silent = { askedAt: 1_000, running: null };
  t.is(classifyStalled(remote({}), silent, 1_600), "dead");
});

test("a response that arrives during the probe is dropped", (t) => {
  const finding = { askedAt: 1_000, running: new Set<string>() };
  const late = remote({ progressAt: 1_050 });
  t.is(classifyStalled(late, finding, 1_100), "wait");
});
