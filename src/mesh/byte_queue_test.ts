import test from "ava";
import fc from "fast-check";
import { createByteQueue } from "./create_byte_queue.ts";

test("bytes are taken in the order in which they were pushed", (t) => {
  const parts = fc.array(fc.uint8Array({ maxLength: 30 }), { maxLength: 12 });
  fc.assert(
    fc.property(parts, fc.integer({ min: 1, max: 40 }), (pushed, maxBytes) => {
      const queue = createByteQueue();
      for (const part of pushed) queue.push(Buffer.from(part));
      const taken: Buffer[] = [];
      while (queue.size() > 0) {
        const next = queue.take(maxBytes);
        t.true(next.length > 0 && next.length <= maxBytes);
        taken.push(next);
      }
      t.deepEqual(Buffer.concat(taken), Buffer.concat(pushed));
    }),
  );
});

test("a cleared queue is empty", (t) => {
  const queue = createByteQueue();
  queue.push(Buffer.from("abc"));
  queue.clear();
  t.is(queue.size(), 0);
  t.is(queue.take(9).length, 0);
});
