import type { Outcome } from "../outcomes/outcome.ts";
import type { Ledger } from "./ledger.ts";

type StepToken =
  | { kind: "token"; token: string }
  /** The step has no token yet and no fresh one was given. */
  | { kind: "missing" }
  | { kind: "rejected"; outcome: Outcome };

const STEP = /^[\w.-]{1,64}$/;
const MAX_STEPS = 64;

/**
 * Returns the token of a nested non-repeatable call: the one already assigned
 * to its step, otherwise `fresh`, which is then assigned to the step. `refused`
 * is a token that its issuing daemon reported as `not-run`; `fresh` replaces
 * it. Steps are kept only while the parent runs; afterwards it cannot be known
 * whether a step ran.
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
  const assigned = execution.steps.get(step);
  if (assigned !== undefined && assigned !== refused) {
    return { kind: "token", token: assigned };
  }
  if (fresh === null) return { kind: "missing" };
  if (assigned === undefined && execution.steps.size >= MAX_STEPS) {
    return rejected({ kind: "not-run", reason: "too-large" });
  }
  execution.steps.set(step, fresh);
  return { kind: "token", token: fresh };
}

function rejected(outcome: Outcome): StepToken {
  return { kind: "rejected", outcome };
}
