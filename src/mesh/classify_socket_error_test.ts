import test from "ava";
import { classifySocketError } from "./classify_socket_error.ts";

const fault = (code: string | undefined, message: string) =>
  Object.assign(new Error(message), { code });

test("the kind of a loss holds no address", (t) => {
  const refused = fault("ECONNREFUSED", "connect ECONNREFUSED 10.0.0.1:7620");
  t.deepEqual(classifySocketError(refused), {
    kind: "refused",
    reason: refused.message,
  });
  t.is(classifySocketError(fault("EPIPE", "write EPIPE")).kind, "reset");
  t.is(classifySocketError(fault("EMFILE", "too many files")).kind, "other");
  t.is(classifySocketError(fault(undefined, "unknown")).kind, "other");
});
