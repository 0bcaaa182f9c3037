import type { Issue } from "../core/issue.ts";

/** What became of a submitted or approved change. */
export type SubmitResult =
  | { kind: "accepted"; changeId: string; section: string; version: number }
  /** The same change was accepted before. */
  | { kind: "unchanged"; changeId: string; section: string; version: number }
  /** Stored, but not in effect before these departments approve it. */
  | {
    kind: "pending";
    changeId: string;
    section: string;
    version: number;
    digest: string;
    missing: string[];
  }
  /** Another change came first; its version is the one to start from. */
  | {
    kind: "conflict";
    changeId: string;
    section: string;
    version: number;
    /** Change id of the other change. */
    winner: string;
  }
  /** The configuration, the key or an argument is at fault; nothing was sent. */
  | { kind: "invalid"; issues: Issue[] }
  /** Refused by the checks that every daemon makes. */
  | { kind: "rejected"; changeId: string; issues: Issue[] }
  /** The daemon could not be reached, so that nothing was sent. */
  | { kind: "unreachable"; message: string }
  /** Certainly not accepted: the store was not asked or is down. */
  | { kind: "unavailable"; changeId: string; message: string }
  /** Sent, and no response came; submit again with the same change id. */
  | { kind: "unknown"; changeId: string; message: string };
