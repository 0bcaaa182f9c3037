import { sha256 } from "../core/sha256.ts";
import type { Outcome } from "../outcomes/outcome.ts";
import type { TableService } from "../store/table_service.ts";

type KeyClaim =
  /** The token bound to the key: the given one, or that of an earlier claim. */
  | { kind: "token"; token: string }
  | { kind: "rejected"; outcome: Outcome };

type Claim = {
  /** `Idempotency-Key` together with the caller it belongs to. */
  key: string;
  token: string;
  /**
   * Token of an earlier claim that its issuing daemon reported as `not-run`. It
   * is replaced.
   */
  refused?: string;
};

const MAX_ATTEMPTS = 3;
const SORT_KEY = "claim";

/**
 * Binds a key to an execution token by insert-if-absent and returns the token
 * that won. `expires` is the wall-clock time in seconds after which the table
 * may remove the row. Reports `unknown` if the table cannot be read: an earlier
 * request with the same key may have run, even if this one never does.
 */
export async function claimKey(
  table: TableService,
  claim: Claim,
  { expires }: { expires: number },
): Promise<KeyClaim> {
  const partition = `claim#${sha256(claim.key)}`;
  for (let attempt = 0; attempt < MAX_ATTEMPTS; attempt++) {
    const written = await insert(table, { partition, expires, ...claim });
    if (written.kind === "written") {
      return { kind: "token", token: claim.token };
    }
    if (written.kind === "unavailable") break;
    const row = await table.get({ partition, sort: SORT_KEY });
    const winner = row.kind === "found" ? row.item.attributes.token : undefined;
    if (typeof winner === "string" && winner !== claim.refused) {
      return { kind: "token", token: winner };
    }
    if (written.kind === "conflict") {
      return rejected({ kind: "unknown", reason: "response-gone" });
    }
    // The response to the write was lost. Even if the row is absent, the write
    // may still be in progress; inserting the same token again is harmless.
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
    item: { partition, sort: SORT_KEY, attributes: { token, expires } },
    condition: refused === undefined
      ? { kind: "absent" }
      : { kind: "equals", attribute: "token", value: refused },
  }]);
}

function rejected(outcome: Outcome): KeyClaim {
  return { kind: "rejected", outcome };
}
