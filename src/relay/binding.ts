import type { Outcome } from "../outcomes/outcome.ts";

/** Result of binding a request that came without an execution token. */
type BoundToken =
  | { kind: "token"; token: string }
  /** Nothing is bound yet and no fresh token was offered. */
  | { kind: "missing" }
  | { kind: "rejected"; outcome: Outcome };

/**
 * A fresh token to bind, and an earlier one that its issuing daemon reported as
 * not run, which the fresh one replaces.
 */
type TokenOffer = { fresh: string | null; refused: string | null };

/**
 * Binds a request to one execution token, which every resend of the request
 * then uses. Resends are recognized by the step of a nested call or by the
 * `Idempotency-Key`.
 */
export type Binding = (
  offer: TokenOffer,
  done: (bound: BoundToken) => void,
) => void;
