import type { Issue } from "../core/issue.ts";
import type { Head } from "./head.ts";
import { rulesHead } from "./rules_head.ts";
import type { Rules } from "./rules.ts";

/**
 * How a head reported by the store or a peer relates to the rules in effect.
 */
type Comparison =
  | { kind: "same" }
  | { kind: "newer"; after: number }
  | { kind: "older"; issue: Issue }
  | { kind: "fork"; issue: Issue };

/**
 * Compares a reported head with the rules in effect. `newer` gives the sequence
 * to request changes after; `older` and `fork` are reported and never followed.
 * An older head is normal for a peer, but a fault of the store.
 */
export function compareHead(rules: Rules, head: Head): Comparison {
  const own = rulesHead(rules);
  if (head.sequence > own.sequence) {
    return { kind: "newer", after: own.sequence };
  }
  if (head.sequence < own.sequence) {
    return { kind: "older", issue: headIssue("older-head", head, own) };
  }
  return head.digest === own.digest
    ? { kind: "same" }
    : { kind: "fork", issue: headIssue("fork", head, own) };
}

function headIssue(code: string, head: Head, own: Head): Issue {
  const message =
    `Reported head ${head.sequence} (${head.changeId}) is not followed; ${own.sequence} (${own.changeId}) is in effect`;
  return { code, path: ["head"], message };
}
