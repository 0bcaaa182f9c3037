import test from "ava";
import { lossOf } from "./loss_of.ts";

const fault = (code: string | undefined, message: string) =>
  Object.assign(new Error(message), { code });

test("the kind of a loss holds no address", (t) => {
  const refused = fault("ECONNREFUSED", "connect ECONNREFUSED 10.0.0.1:7620");
  t.deepEqual(lossOf(refused), { kind: "refused", reason: refused.message });
  t.is(lossOf(fault("EPIPE", "write EPIPE")).kind, "reset");
  t.is(lossOf(fault("EMFILE", "too many files")).kind, "other");
  t.is(lossOf(fault(undefined, "unknown")).kind, "other");
});
