import type { RulesVersion } from "../membership/rules_version.ts";
import type { Rules } from "../rules/rules.ts";

/** Returns what gossip carries about the rules in effect. */
export function rulesMark({ record }: Rules): RulesVersion {
  return { sequence: record.sequence, digest: record.digest };
}
