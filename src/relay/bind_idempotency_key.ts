import { claimKey } from "../execution/claim_key.ts";
import type { Binding } from "./binding.ts";
import type { Relay } from "./relay.ts";

/** Retention of key claims in the table service: one day, in seconds. */
const CLAIM_RETENTION_S = 86_400;
const MS_PER_S = 1_000;

/**
 * Binds a request to an execution token by claiming its `Idempotency-Key` in
 * the table service.
 */
export function bindIdempotencyKey(relay: Relay, key: string): Binding {
  return ({ fresh, refused }, done) => {
    if (fresh === null) return done({ kind: "missing" });
    const { table } = relay;
    if (table === null) {
      const outcome = { kind: "unknown", reason: "platform-down" } as const;
      return done({ kind: "rejected", outcome });
    }
    const expires = Math.floor(Date.now() / MS_PER_S) + CLAIM_RETENTION_S;
    const claim = { key, token: fresh, refused: refused ?? undefined };
    claimKey(table, claim, { expires }).then(done);
  };
}
