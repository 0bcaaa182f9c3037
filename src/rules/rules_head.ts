import type { Head } from "./head.ts";
import type { Rules } from "./rules.ts";

/** Returns the head of the rules in effect. */
export function rulesHead({ record }: Rules): Head {
  return {
    sequence: record.sequence,
    digest: record.digest,
    changeId: record.id,
  };
}
