import type { Issue } from "../core/issue.ts";

/** Result of submitting or approving a change. */
export type SubmitResult =
  | { kind: "accepted"; changeId: string; section: string; version: number }
  /** The same change was already accepted. */
  | { kind: "unchanged"; changeId: string; section: string; version: number }
  /** Stored, but not in effect until the missing departments approve it. */
  | {
    kind: "pending";
    changeId: string;
    section: string;
    version: number;
    digest: string;
    missing: string[];
  }
  /** Another change was accepted first; a new change starts from its version. */
  | {
    kind: "conflict";
    changeId: string;
    section: string;
    version: number;
    /** Change id of the other change. */
    winner: string;
  }
  /** The configuration, the key or an argument is invalid; nothing was sent. */
  | { kind: "invalid"; issues: Issue[] }
  /** Failed the validation that every daemon performs. */
  | { kind: "rejected"; changeId: string; issues: Issue[] }
  /** The daemon could not be reached, so nothing was sent. */
  | { kind: "unreachable"; message: string }
  /** Definitely not accepted: the store was not contacted or is unavailable. */
  | { kind: "unavailable"; changeId: string; message: string }
  /** Sent without a usable response; submit again with the same change id. */
  | { kind: "unknown"; changeId: string; message: string };
