import { sha256 } from "../core/sha256.ts";
import type { Outcome } from "../outcomes/outcome.ts";
import type { TableService } from "../store/table_service.ts";

type KeyClaim =
  /** The token the key belongs to: the offered one, or that of an earlier claim. */
  | { kind: "token"; token: string }
  | { kind: "rejected"; outcome: Outcome };

type Claim = {
  /** `Idempotency-Key` together with the caller it belongs to. */
  key: string;
  token: string;
  /** Token of an earlier claim that its own daemon reported as `not-run`. */
  refused?: string;
};

const MAX_TRIES = 3;
const SORT = "claim";

/**
 * Binds a key to an execution token by insert-if-absent and returns the token
 * that won. `expires` is wall-clock time in seconds, for the table's clean-up.
 * `unknown` is reported where the table cannot be read: an earlier send with
 * the same key may have run, whatever becomes of this one.
 */
export async function claimKey(
  table: TableService,
  claim: Claim,
  { expires }: { expires: number },
): Promise<KeyClaim> {
  const partition = `claim#${sha256(claim.key)}`;
  for (let tries = 0; tries < MAX_TRIES; tries++) {
    const written = await insert(table, { partition, expires, ...claim });
    if (written.kind === "written") {
      return { kind: "token", token: claim.token };
    }
    if (written.kind === "unavailable") break;
    const row = await table.get({ partition, sort: SORT });
    const winner = row.kind === "found" ? row.item.attributes.token : undefined;
    if (typeof winner === "string" && winner !== claim.refused) {
      return { kind: "token", token: winner };
    }
    if (written.kind === "conflict") {
      return rejected({ kind: "unknown", reason: "response-gone" });
    }
    // The response was lost. A row that is absent may still be on its way in,
    // and inserting the same token again is harmless.
    if (row.kind === "unavailable") break;
  }
  return rejected({ kind: "unknown", reason: "platform-down" });
}

function insert(
  table: TableService,
  { partition, token, refused, expires }: Omit<Claim, "key"> & {
    partition: string;
    expires: number;
  },
): ReturnType<TableService["transact"]> {
  return table.transact([{
    item: { partition, sort: SORT, attributes: { token, expires } },
    condition: refused === undefined
      ? { kind: "absent" }
      : { kind: "equals", attribute: "token", value: refused },
  }]);
}

function rejected(outcome: Outcome): KeyClaim {
  return { kind: "rejected", outcome };
}
