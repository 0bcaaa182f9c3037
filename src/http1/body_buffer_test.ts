import test from "ava";
import fc from "fast-check";
import { createBodyBuffer } from "./create_body_buffer.ts";

test("a body is complete, however it is split into parts", (t) => {
  const source = Buffer.from(
    Array.from({ length: 300_000 }, (_, i) => i % 251),
  );
  const body = createBodyBuffer();
  const cuts = fc.array(fc.nat(source.length), { maxLength: 20 });
  fc.assert(
    fc.property(cuts, (unordered) => {
      const bounds = [0, ...unordered.sort((a, b) => a - b)];
      for (const [i, end] of bounds.slice(1).entries()) {
        body.add(source, bounds[i]!, end);
      }
      t.is(body.bytes(), bounds.at(-1)!);
      t.true(body.take().equals(source.subarray(0, bounds.at(-1))));
      t.is(body.bytes(), 0);
    }),
    { numRuns: 50 },
  );
});

test("reused blocks don't change bodies that were handed out", (t) => {
  const sizes = [1, 1_000, 65_535, 65_536, 65_537, 200_000];
  const fill = (byte: number, size: number) => {
    const body = createBodyBuffer();
    const source = Buffer.alloc(size, byte);
    body.add(source, 0, size >> 1);
    body.add(source, size >> 1, size);
    return body;
  };
  const taken = sizes.map((size) => fill(1, size).take());
  for (const size of sizes) fill(2, size).clear();
  for (const size of sizes) fill(3, size).take();
  for (const [i, size] of sizes.entries()) {
    t.true(taken[i]!.equals(Buffer.alloc(size, 1)));
  }
});
