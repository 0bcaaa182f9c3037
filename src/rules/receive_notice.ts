import type { Issue } from "../core/issue.ts";
import { applyChanges } from "./apply_changes.ts";
import { compareHead } from "./compare_head.ts";
import type { HeadNotice } from "./head_notice.ts";
import type { Rules } from "./rules.ts";

/** What the daemon does after a head notice. */
type FollowUp = {
  /**
   * Whether the notice changed the head in effect, which is then pushed to
   * peers.
   */
  push: boolean;
  /**
   * Sequence after which to pull changes from the sender; undefined for no
   * pull.
   */
  pullAfter: number | undefined;
  issues: Issue[];
};

/**
 * Handles a pushed head: applies the change that came with it, and requests a
 * pull from the sender if its sequence is still higher. A sender that is behind
 * is normal; it pulls the changes itself.
 */
export function receiveNotice(
  rules: Rules,
  { head, change }: HeadNotice,
  now: number,
): FollowUp {
  const { applied, issues } = applyChanges(rules, change ? [change] : [], now);
  const order = compareHead(rules, head);
  const rejected = issues.length > 0;
  return {
    push: applied.length > 0,
    pullAfter: order.kind === "newer" && !rejected ? order.after : undefined,
    issues: order.kind === "fork" && !rejected ? [order.issue] : issues,
  };
}
