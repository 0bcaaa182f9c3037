import type { HeadNotice } from "./head_notice.ts";
import type { Rules } from "./rules.ts";
import { rulesHead } from "./rules_head.ts";

// A pushed change arrives three times on average at each daemon; a larger one
// is left out of the notice and pulled once instead.
const MAX_PUSHED_BYTES = 2_048;

/** Returns the notice of the head in effect, to be pushed to peers. */
export function createHeadNotice(rules: Rules): HeadNotice {
  const head = rulesHead(rules);
  const newest = rules.recentChanges.at(-1);
  return newest && newest.bytes <= MAX_PUSHED_BYTES
    ? { head, change: newest.change }
    : { head };
}
