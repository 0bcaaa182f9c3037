import test from "ava";
import fc from "fast-check";
import { createFrameReader } from "./create_frame_reader.ts";

function frame(body: Uint8Array): Buffer {
  const length = Buffer.alloc(4);
  length.writeUInt32BE(body.length);
  return Buffer.concat([length, body]);
}

test("frames do not depend on how the stream is split into chunks", (t) => {
  const bodies = fc.array(fc.uint8Array({ maxLength: 50 }), { maxLength: 8 });
  fc.assert(
    fc.property(bodies, fc.integer({ min: 1, max: 20 }), (sent, chunkBytes) => {
      const bytes = Buffer.concat(sent.map(frame));
      const received: Buffer[] = [];
      const read = createFrameReader(() => 64, (body) => received.push(body));
      for (let at = 0; at < bytes.length; at += chunkBytes) {
        t.true(read(bytes.subarray(at, at + chunkBytes)));
      }
      t.deepEqual(received, sent.map((body) => Buffer.from(body)));
    }),
  );
});

test("an oversized frame is rejected", (t) => {
  const read = createFrameReader(() => 64, () => t.fail());
  t.false(read(frame(new Uint8Array(65))));
});
