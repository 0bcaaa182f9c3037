import type { RulesVersion } from "../membership/rules_version.ts";
import type { Rules } from "../rules/rules.ts";

/** Returns the version of the rules in effect, as carried by gossip. */
export function rulesVersionOf({ record }: Rules): RulesVersion {
  return { sequence: record.sequence, digest: record.digest };
}
