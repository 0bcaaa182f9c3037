import { GENESIS } from "./genesis.ts";
import { parsePublicKey } from "./parse_public_key.ts";
import type { Rules } from "./rules.ts";

/** Public keys by department, in base64, raw or SPKI. */
type Options = { departmentKeys: Readonly<Record<string, string>> };

/**
 * Returns the empty rules of a daemon that has just started. Throws if a key is
 * not an Ed25519 public key, which the check of the settings rules out.
 */
export function createRules({ departmentKeys }: Options): Rules {
  const keys = new Map(
    Object.entries(departmentKeys).map(([department, text]) => {
      const key = parsePublicKey(text);
      if (key.ok) return [department, key.value] as const;
      throw new Error(`Public key of ${department} is not an Ed25519 key`);
    }),
  );
  return {
    keys,
    record: GENESIS,
    sections: new Map(),
    services: new Map(),
    recentChanges: [],
    recentBytes: 0,
    changedAt: 0,
  };
}
