import type { Issue } from "../core/issue.ts";

/** What became of a submitted or approved change. */
export type SubmitAnswer =
  | { kind: "accepted"; changeId: string; section: string; version: number }
  /** The same change is in effect already. */
  | { kind: "unchanged"; changeId: string; section: string; version: number }
  /** Stored, but not in effect before these departments approve it. */
  | { kind: "pending"; changeId: string; missing: string[] }
  /** Another change came first; its version is the one to start from. */
  | { kind: "conflict"; changeId: string; section: string; version: number }
  | { kind: "rejected"; issues: Issue[] }
  /** Certainly not accepted: the store was not asked or is down. */
  | { kind: "unavailable"; message: string }
  /** Sent, and no response came; submit again with the same change id. */
  | { kind: "unknown"; changeId: string; message: string };
