import test from "ava";
import fc from "fast-check";
import { isFrequentMessage } from "./is_frequent_message.ts";
import { Message } from "./message.ts";

const SEED = 20261205;
const RUNS = 5_000;
const BODY = new Uint8Array(3);
const HEAD = ["q", "GET", "/", ["Host", "a"], "r", "i", false, 0, true, 0];
const REPORT = { root: true, costs: [{ service: "s", slotMs: 4.5 }] };
const VALID: unknown[][] = [
  ["request", 1, HEAD, 900, BODY],
  ["request", 1, HEAD.slice(0, 9), 0, BODY, 70_000],
  ["answered", 1, 200, ["A", "b"], BODY, 0.5, REPORT],
  ["answered", 1, 599, [], BODY, 0, null, 70_000],
  ["not-run", 1, "overload", 0.5, false, 1],
  ["unknown", 1, "expired", 1],
  ["cancel", 0],
  ["load", 0.5, 12],
  ["ping"],
  ["pong"],
  ["piece", 1, 70_000, BODY],
  ["piece-read", 5],
];
const ODD = fc.oneof(
  fc.anything({ maxDepth: 2 }),
  fc.constantFrom(
    -1,
    0.5,
    NaN,
    Infinity,
    2 ** 53,
    2n ** 60n,
    undefined,
    null,
    "",
    BODY,
    ["odd"],
    ["A", 1],
    HEAD.slice(0, 8),
    [...HEAD.slice(0, 9), "x"],
    { ...REPORT, costs: [{ service: 1, slotMs: 0 }] },
    { ...REPORT, costs: [null] },
  ),
);
const schemas: Readonly<
  Record<string, { safeParse: typeof Message.ping.safeParse }>
> = Message as never;

test("valid messages of frequent kinds are accepted", (t) => {
  for (const message of VALID) {
    t.true(isFrequentMessage(message), `${message[0]}`);
  }
});

test("kinds that are rare are left to their schemas", (t) => {
  t.false(isFrequentMessage(["peers", []]));
  t.false(isFrequentMessage([]));
  t.false(isFrequentMessage(["constructor", 1]));
});

test("what the schema rejects isn't accepted", (t) => {
  const altered = fc.constantFrom(...VALID).chain((message) =>
    fc.tuple(fc.integer({ min: 1, max: message.length }), ODD).map(
      ([at, odd]) => [...message.slice(0, at), odd, ...message.slice(at + 1)],
    )
  );
  fc.assert(
    fc.property(altered, (message) => {
      if (!isFrequentMessage(message)) return;
      t.true(schemas[message[0] as string]!.safeParse(message).success);
    }),
    { numRuns: RUNS, seed: SEED },
  );
});
