import test from "ava";
import fc from "fast-check";
import { createBodyAssembler } from "./create_body_assembler.ts";
import { createBodySendQueue } from "./create_body_send_queue.ts";
import type { Message } from "./message.ts";

const PIECE_BYTES = 4;
const WINDOW_BYTES = 12;
const MAX_CONCURRENT_BODIES = 3;

type Step =
  | { kind: "add"; body: Uint8Array }
  | { kind: "send" }
  | { kind: "read" }
  | { kind: "cancel"; nth: number };

const anyStep: fc.Arbitrary<Step> = fc.oneof(
  fc.record({
    kind: fc.constant("add" as const),
    body: fc.uint8Array({ minLength: PIECE_BYTES + 1, maxLength: 40 }),
  }),
  fc.record({ kind: fc.constant("send" as const) }),
  fc.record({ kind: fc.constant("read" as const) }),
  fc.record({ kind: fc.constant("cancel" as const), nth: fc.nat(9) }),
);

/** A send queue, the peer's assembler, and the messages in transit. */
function createPair() {
  const sendQueue = createBodySendQueue({
    pieceBytes: PIECE_BYTES,
    windowBytes: WINDOW_BYTES,
    maxConcurrentBodies: MAX_CONCURRENT_BODIES,
  });
  const assembler = createBodyAssembler({
    maxBodyBytes: 40,
    maxConcurrentBodies: MAX_CONCURRENT_BODIES,
  });
  const inTransit: Message[] = [];
  const received = new Map<number, Buffer | null>();
  let valid = true;
  return {
    sendQueue,
    inTransit,
    received,
    valid: () => valid,
    add: (stream: number, body: Uint8Array) =>
      sendQueue.add(
        stream,
        Buffer.from(body),
        (last, ...total) => ["request", stream, [] as never, 0, last, ...total],
      ),
    cancel(stream: number) {
      if (sendQueue.cancel(stream)) inTransit.push(["cancel", stream]);
    },
    /** Sends the next message; returns whether there was one. */
    send() {
      const message = sendQueue.next();
      if (message !== null) inTransit.push(message);
      return message !== null;
    },
    /** The peer processes one message; returns whether there was one. */
    read() {
      const message = inTransit.shift();
      if (message?.[0] === "piece") {
        valid &&= assembler.add(message[1], message[2], message[3]);
        sendQueue.acknowledge(message[3].length);
      }
      if (message?.[0] === "request") {
        received.set(
          message[1],
          assembler.finish(message[1], message[4], message[5]!),
        );
      }
      if (message?.[0] === "cancel") assembler.drop(message[1]);
      return message !== undefined;
    },
  };
}

test("bodies that are not cancelled arrive unchanged", (t) => {
  fc.assert(fc.property(fc.array(anyStep, { maxLength: 80 }), (steps) => {
    const pair = createPair();
    const sent = new Map<number, Uint8Array>();
    const perform: { [Kind in Step["kind"]]: (step: never) => void } = {
      add({ body }: { body: Uint8Array }) {
        pair.add(sent.size, body);
        sent.set(sent.size, body);
      },
      send: pair.send,
      read: pair.read,
      cancel: ({ nth }: { nth: number }) => pair.cancel(nth),
    };
    for (const step of steps) {
      perform[step.kind](step as never);
      const unacknowledged = pair.inTransit.filter(([kind]) =>
        kind === "piece"
      ).length;
      t.true(unacknowledged * PIECE_BYTES <= WINDOW_BYTES);
    }
    const cancelled = new Set(
      steps.flatMap((step) => step.kind === "cancel" ? [step.nth] : []),
    );
    while (pair.send() || pair.read());
    t.true(pair.valid());
    t.is(pair.sendQueue.size(), 0);
    for (const [stream, body] of sent) {
      if (cancelled.has(stream) && !pair.received.has(stream)) continue;
      t.deepEqual(pair.received.get(stream), Buffer.from(body));
    }
  }));
});

test("bodies are sent in turn", (t) => {
  const { sendQueue, add } = createPair();
  add(1, new Uint8Array(40));
  add(2, new Uint8Array(10));
  const streams: number[] = [];
  for (let next = sendQueue.next(); next !== null; next = sendQueue.next()) {
    streams.push(next[1] as number);
    sendQueue.acknowledge(PIECE_BYTES);
  }
  t.deepEqual(streams.slice(0, 6), [1, 2, 1, 2, 1, 2]);
  t.is(streams.length, 10 + 3);
});

test("an assembler rejects pieces that exceed a limit or the stated length", (t) => {
  const assembler = createBodyAssembler({
    maxBodyBytes: 40,
    maxConcurrentBodies: 2,
  });
  const piece = new Uint8Array(4);
  t.false(assembler.add(1, 41, piece));
  t.false(assembler.add(1, NaN, piece));
  t.true(assembler.add(1, 10, piece));
  t.false(assembler.add(1, 12, piece));
  t.true(assembler.add(1, 10, piece));
  t.false(assembler.add(1, 10, piece));
  t.true(assembler.add(2, 10, piece));
  t.false(assembler.add(3, 10, piece));
  assembler.drop(2);
  t.true(assembler.add(3, 10, piece));
  t.is(assembler.finish(1, new Uint8Array(1), 10), null);
  t.is(assembler.finish(2, new Uint8Array(2), 10), null);
  t.is(assembler.finish(3, new Uint8Array(6), 10)?.length, 10);
});
