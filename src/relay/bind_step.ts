import { assignStepToken } from "../execution/assign_step_token.ts";
import { parseToken } from "../execution/parse_token.ts";
import type { Binding } from "./binding.ts";
import type { Parent } from "./parent.ts";
import type { Relay } from "./relay.ts";

/**
 * Binds a nested call to the execution token of its step. Returns null where
 * the parent has no token.
 */
export function bindStep(
  relay: Relay,
  { parent, step }: { parent: Parent; step: string },
): Binding | null {
  const token = parent.context.token === null
    ? null
    : parseToken(parent.context.token);
  if (token === null) return null;
  return (offer, done) =>
    done(
      assignStepToken(relay.ledger, { parent: token.nonce, step, ...offer }),
    );
}
