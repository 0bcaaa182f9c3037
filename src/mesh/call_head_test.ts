import test from "ava";
import fc from "fast-check";
import { messageCodec } from "./message_codec.ts";
import { readCallHead } from "./read_call_head.ts";
import { writeCallHead } from "./write_call_head.ts";

test("a call head is unchanged by encoding and decoding", (t) => {
  const head = fc.record({
    id: fc.string(),
    method: fc.constantFrom("GET", "POST"),
    target: fc.string(),
    fields: fc.array(fc.string(), { maxLength: 6 }),
    route: fc.string(),
    serverId: fc.string(),
    nested: fc.boolean(),
    rank: fc.nat(5),
    repeatable: fc.boolean(),
    repeatedShare: fc.integer({ min: 0, max: 100 }).map((share) => share / 100),
  });
  fc.assert(fc.property(head, (sent) => {
    const request = {
      ...sent,
      caller: "s",
      body: Buffer.alloc(0),
      expiresAt: 0,
    };
    const bytes = messageCodec.pack(writeCallHead(request));
    t.deepEqual(readCallHead(messageCodec.unpack(bytes)), sent);
  }));
});
