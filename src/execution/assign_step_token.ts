import type { Outcome } from "../outcomes/outcome.ts";
import type { Ledger } from "./ledger.ts";

type StepToken =
  | { kind: "token"; token: string }
  /** The step has no token yet and none was offered. */
  | { kind: "missing" }
  | { kind: "rejected"; outcome: Outcome };

const STEP = /^[\w.-]{1,64}$/;
const MAX_STEPS = 64;

/**
 * Returns the token of a nested non-repeatable call: the one its step already
 * has, otherwise `fresh`, which the step then keeps. A token that its own
 * daemon reported as `not-run` is given as `refused` and replaced by `fresh`.
 * Steps are kept while the parent runs; what became of a step cannot be known
 * afterwards.
 */
export function assignStepToken(
  ledger: Ledger,
  { parent, step, fresh, refused = null }: {
    /** Nonce of the parent's token. */
    parent: string;
    step: string;
    fresh: string | null;
    refused?: string | null;
  },
): StepToken {
  if (!STEP.test(step)) {
    return rejected({ kind: "not-run", reason: "bad-request" });
  }
  const execution = ledger.executions.get(parent);
  if (execution?.state !== "running") {
    return rejected({ kind: "unknown", reason: "response-gone" });
  }
  const known = execution.steps.get(step);
  if (known !== undefined && known !== refused) {
    return { kind: "token", token: known };
  }
  if (fresh === null) return { kind: "missing" };
  if (known === undefined && execution.steps.size >= MAX_STEPS) {
    return rejected({ kind: "not-run", reason: "too-large" });
  }
  execution.steps.set(step, fresh);
  return { kind: "token", token: fresh };
}

function rejected(outcome: Outcome): StepToken {
  return { kind: "rejected", outcome };
}
