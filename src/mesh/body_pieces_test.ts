import test from "ava";
import fc from "fast-check";
import { createBodyAssembler } from "./create_body_assembler.ts";
import { createBodySendQueue } from "./create_body_send_queue.ts";
import type { Message } from "./message.ts";

const PIECE_BYTES = 4;
const WINDOW_BYTES = 12;
const MOST_AT_ONCE = 3;

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

/** An outbox and the inbox of the other side, with the messages between. */
function createPair() {
  const outbox = createBodySendQueue({
    pieceBytes: PIECE_BYTES,
    windowBytes: WINDOW_BYTES,
    mostAtOnce: MOST_AT_ONCE,
  });
  const inbox = createBodyAssembler({
    maxBodyBytes: 40,
    mostAtOnce: MOST_AT_ONCE,
  });
  const way: Message[] = [];
  const whole = new Map<number, Buffer | null>();
  let valid = true;
  return {
    outbox,
    way,
    whole,
    valid: () => valid,
    add: (stream: number, body: Uint8Array) =>
      outbox.add(
        stream,
        Buffer.from(body),
        (last, ...total) => ["request", stream, [] as never, 0, last, ...total],
      ),
    cancel(stream: number) {
      if (outbox.cancel(stream)) way.push(["cancel", stream]);
    },
    /** Sends what may be sent now. */
    send() {
      const message = outbox.next();
      if (message !== null) way.push(message);
      return message !== null;
    },
    /** The other side reads one message. */
    read() {
      const message = way.shift();
      if (message?.[0] === "piece") {
        valid &&= inbox.add(message[1], message[2], message[3]);
        outbox.acknowledge(message[3].length);
      }
      if (message?.[0] === "request") {
        whole.set(
          message[1],
          inbox.finish(message[1], message[4], message[5]!),
        );
      }
      if (message?.[0] === "cancel") inbox.drop(message[1]);
      return message !== undefined;
    },
  };
}

test("bodies arrive as they were sent, cancelled ones not at all", (t) => {
  fc.assert(fc.property(fc.array(anyStep, { maxLength: 80 }), (steps) => {
    const pair = createPair();
    const sent = new Map<number, Uint8Array>();
    const act: { [Kind in Step["kind"]]: (step: never) => void } = {
      add({ body }: { body: Uint8Array }) {
        pair.add(sent.size, body);
        sent.set(sent.size, body);
      },
      send: pair.send,
      read: pair.read,
      cancel: ({ nth }: { nth: number }) => pair.cancel(nth),
    };
    for (const step of steps) {
      act[step.kind](step as never);
      const unread = pair.way.filter(([kind]) => kind === "piece").length;
      t.true(unread * PIECE_BYTES <= WINDOW_BYTES);
    }
    const cancelled = new Set(
      steps.flatMap((step) => step.kind === "cancel" ? [step.nth] : []),
    );
    while (pair.send() || pair.read());
    t.true(pair.valid());
    t.is(pair.outbox.size(), 0);
    for (const [stream, body] of sent) {
      if (cancelled.has(stream) && !pair.whole.has(stream)) continue;
      t.deepEqual(pair.whole.get(stream), Buffer.from(body));
    }
  }));
});

test("bodies take turns", (t) => {
  const { outbox, add } = createPair();
  add(1, new Uint8Array(40));
  add(2, new Uint8Array(10));
  const streams: number[] = [];
  for (let next = outbox.next(); next !== null; next = outbox.next()) {
    streams.push(next[1] as number);
    outbox.acknowledge(PIECE_BYTES);
  }
  t.deepEqual(streams.slice(0, 6), [1, 2, 1, 2, 1, 2]);
  t.is(streams.length, 10 + 3);
});

test("an inbox takes nothing that exceeds what was stated", (t) => {
  const inbox = createBodyAssembler({ maxBodyBytes: 40, mostAtOnce: 2 });
  const piece = new Uint8Array(4);
  t.false(inbox.add(1, 41, piece));
  t.false(inbox.add(1, NaN, piece));
  t.true(inbox.add(1, 10, piece));
  t.false(inbox.add(1, 12, piece));
  t.true(inbox.add(1, 10, piece));
  t.false(inbox.add(1, 10, piece));
  t.true(inbox.add(2, 10, piece));
  t.false(inbox.add(3, 10, piece));
  inbox.drop(2);
  t.true(inbox.add(3, 10, piece));
  t.is(inbox.finish(1, new Uint8Array(1), 10), null);
  t.is(inbox.finish(2, new Uint8Array(2), 10), null);
  t.is(inbox.finish(3, new Uint8Array(6), 10)?.length, 10);
});
