import type { Issue } from "../core/issue.ts";

/** What became of a submitted change. */
export type SubmissionOutcome =
  /** Written by this call. */
  | { kind: "accepted"; sequence: number; version: number }
  /** Written by an earlier submission with the same change id. */
  | { kind: "already-accepted"; sequence: number; version: number }
  /** Another change took this version of the section. */
  | { kind: "conflict"; sequence: number; version: number; changeId: string }
  /** The change or the state in the store does not pass the checks. */
  | { kind: "rejected"; issues: Issue[] }
  /** Certainly not written. */
  | { kind: "not-accepted"; message: string }
  /** Perhaps written; submitting again with the same id resolves it. */
  | { kind: "not-known"; message: string };
