import type { Issue } from "../core/issue.ts";

/** One problem in a settings file; its path is the section and the key. */
export type SettingsIssue = Issue & {
  /** Counted from 1; null if the whole section is missing. */
  line: number | null;
  /** The value in the file; a secret is represented by its length only. */
  found: string;
  expected: string;
};
