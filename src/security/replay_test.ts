import { Buffer } from "node:buffer";
import type { IncomingMessage } from "node:http";
import { Readable } from "node:stream";
import test from "ava";
import fc from "fast-check";
import { acceptCounter } from "./accept_counter.ts";
import { authenticate } from "./authenticate.ts";
import { createVerifier } from "./create_verifier.ts";
import { createReplayWindow } from "./create_replay_window.ts";
import { createSigner } from "./create_signer.ts";
import { epochOf } from "./epoch_of.ts";
import { formatCredential } from "./format_credential.ts";
import { issueCredential } from "./issue_credential.ts";
import { readBody } from "./read_body.ts";
import { sign } from "./sign.ts";

const KEY = "k".repeat(32);
const MESSAGE = {
  method: "POST",
  path: "/-/rpc/exchange",
  sender: "127.0.0.1:1",
  recipient: "127.0.0.2:1",
  instance: "i",
  counter: 1,
  epoch: "e.0",
  body: Buffer.from("body"),
};

test("every part of a message is covered by the MAC", (t) => {
  const mac = sign(KEY, MESSAGE);
  const changes = [
    { method: "GET" },
    { path: "/-/rpc/exchang", sender: `e${MESSAGE.sender}` },
    { sender: "127.0.0.3:1" },
    { recipient: "127.0.0.3:1" },
    { instance: "j" },
    { counter: 2 },
    { epoch: "e.1" },
    { body: Buffer.from("bodY") },
  ];
  for (const change of changes) {
    t.not(sign(KEY, { ...MESSAGE, ...change }), mac);
  }
  t.not(sign("other", MESSAGE), mac);
});

test("no message is accepted twice in an epoch, and memory is bounded", (t) => {
  const arrival = fc.record({
    sender: fc.constantFrom("a", "b", "c"),
    instance: fc.constantFrom("1", "2"),
    counter: fc.nat(60),
  });
  const arrivals = fc.array(arrival, { size: "max", maxLength: 300 });
  fc.assert(fc.property(arrivals, fc.constantFrom(4, 9), (all, maxSenders) => {
    const window = createReplayWindow("me", { maxSenders });
    const accepted = new Set<string>();
    for (const each of all) {
      const key = JSON.stringify([window.generation, each]);
      if (acceptCounter(window, each) === "accepted") {
        t.false(accepted.has(key));
        accepted.add(key);
      }
      t.true(window.senders.size <= maxSenders);
      for (const { recent } of window.senders.values()) {
        t.true(recent.length <= 16);
      }
    }
  }));
});

test("messages that arrive out of order are accepted", (t) => {
  const window = createReplayWindow("me");
  const shuffled = fc.shuffledSubarray([...Array(16).keys()], {
    minLength: 16,
  });
  let run = 0;
  fc.assert(fc.property(shuffled, (counters) => {
    const instance = String(run++);
    for (const counter of counters) {
      t.is(
        acceptCounter(window, { sender: "a", instance, counter }),
        "accepted",
      );
    }
  }));
});

test("a recorded message is rejected after the window was cleared", (t) => {
  const verifier = createVerifier({
    key: KEY,
    address: "127.0.0.2:1",
    instance: "e",
  });
  verifier.window.maxSenders = 1;
  const send = (instance: string) => {
    const signer = createSigner({ key: KEY, address: "127.0.0.1:1", instance });
    const { method, path, recipient, body } = MESSAGE;
    const expectedEpoch = epochOf(verifier.window);
    const header = formatCredential(
      issueCredential(signer, { method, path, recipient, expectedEpoch, body }),
    );
    return () => authenticate(verifier, { method, path, header, body });
  };
  const first = send("one");
  t.true(first().ok);
  t.deepEqual(first(), { ok: false, reason: "replayed" });
  t.deepEqual(send("two")(), { ok: false, reason: "wrong-epoch" });
  t.true(send("two")().ok);
  t.deepEqual(first(), { ok: false, reason: "wrong-epoch" });
});

test("a body without a declared length is limited", async (t) => {
  const chunked = () =>
    Object.assign(Readable.from([Buffer.alloc(6), Buffer.alloc(6)]), {
      headers: {},
    }) as unknown as IncomingMessage;
  t.is(await readBody(chunked(), 11), null);
  t.is((await readBody(chunked(), 12))?.length, 12);
});
