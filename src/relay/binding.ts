import type { Outcome } from "../outcomes/outcome.ts";

/** What a request without a token of its own may be bound to. */
type BoundToken =
  | { kind: "token"; token: string }
  /** Nothing is bound yet and no fresh token was offered. */
  | { kind: "missing" }
  | { kind: "rejected"; outcome: Outcome };

/** A fresh token to bind, and one that its own daemon reported as not run. */
type TokenOffer = { fresh: string | null; refused: string | null };

/**
 * Ties a request to one execution token, so that every resend of the request
 * uses the same: by the step of its parent, or by `Idempotency-Key`.
 */
export type Binding = (
  offer: TokenOffer,
  done: (bound: BoundToken) => void,
) => void;
