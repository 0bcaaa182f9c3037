import test from "ava";
import { classifySocketError } from "./classify_socket_error.ts";

const socketError = (code: string | undefined, message: string) =>
  Object.assign(new Error(message), { code });

test("the kind depends on the error code only, not on the address", (t) => {
  const refused = socketError(
    "ECONNREFUSED",
    "connect ECONNREFUSED 10.0.0.1:7620",
  );
  t.deepEqual(classifySocketError(refused), {
    kind: "refused",
    reason: refused.message,
  });
  t.is(classifySocketError(socketError("EPIPE", "write EPIPE")).kind, "reset");
  t.is(
    classifySocketError(socketError("EMFILE", "too many files")).kind,
    "other",
  );
  t.is(classifySocketError(socketError(undefined, "unknown")).kind, "other");
});
