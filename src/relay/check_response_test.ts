import test from "ava";
import { checkResponse } from "./check_response.ts";

const CALL = { method: "GET", attemptId: "q-1", sheds: true, echoes: false };
const outcomeOf = (headers: Record<string, string>, status = 200, call = {}) =>
  checkResponse(
    { status, headers: { "content-length": "0", ...headers } },
    { ...CALL, ...call },
  );
const MISMATCHED = { kind: "unknown", reason: "mismatched-response" } as const;
const REFUSAL = { "nutmegmoor-outcome": "not-run" };

test("a refusal that names the attempt has not run", (t) => {
  const headers = { ...REFUSAL, "nutmegmoor-attempt": "q-1" };
  t.deepEqual(outcomeOf(headers, 503), {
    kind: "not-run",
    reason: "server-shed",
  });
});

// A server may write an earlier refusal once more on a kept connection.
test("a refusal without an attempt proves nothing", (t) => {
  t.deepEqual(outcomeOf(REFUSAL, 503), MISMATCHED);
});

test("a refusal of another attempt proves nothing", (t) => {
  const headers = { ...REFUSAL, "nutmegmoor-attempt": "q-0" };
  t.deepEqual(outcomeOf(headers, 503), MISMATCHED);
});

test("a server that announced no refusals makes none", (t) => {
  t.is(outcomeOf(REFUSAL, 503, { sheds: false }), null);
});

test("a response needs the attempt only if the server announced so", (t) => {
  t.is(outcomeOf({}), null);
  t.deepEqual(outcomeOf({}, 200, { echoes: true }), MISMATCHED);
});

test("a body without a length is malformed", (t) => {
  t.deepEqual(
    checkResponse({ status: 200, headers: {} }, CALL),
    { kind: "unknown", reason: "malformed-response" },
  );
});
