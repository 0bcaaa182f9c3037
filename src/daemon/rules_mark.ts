import type { RulesMark } from "../membership/rules_mark.ts";
import type { Rules } from "../rules/rules.ts";

/** Returns what gossip carries about the rules in effect. */
export function rulesMark({ record }: Rules): RulesMark {
  return { sequence: record.sequence, digest: record.digest };
}
