import { assignStepToken } from "../execution/assign_step_token.ts";
import { parseToken } from "../execution/parse_token.ts";
import type { Binding } from "./binding.ts";
import type { Parent } from "./parent.ts";
import type { Relay } from "./relay.ts";

/** Binds a nested call to the token of its step; null for a parent without. */
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
