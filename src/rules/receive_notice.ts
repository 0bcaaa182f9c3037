import type { Issue } from "../core/issue.ts";
import { applyChanges } from "./apply_changes.ts";
import { compareHead } from "./compare_head.ts";
import type { HeadNotice } from "./head_notice.ts";
import type { Rules } from "./rules.ts";

/** What a daemon does after a notice of a head. */
type FollowUp = {
  /** Whether the head in effect is new, so that it is pushed on. */
  push: boolean;
  /** Sequence to pull changes after, from the sender; undefined for no pull. */
  pullAfter: number | undefined;
  issues: Issue[];
};

/**
 * Handles a pushed or gossiped head: applies the change that came with it, and
 * pulls from the sender if that still has a higher sequence. A sender that is
 * behind is no fault and pulls for itself.
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
