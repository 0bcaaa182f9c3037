import type { Issue } from "../core/issue.ts";

/** One problem in a settings file; its path is the section and the key. */
export type SettingsIssue = Issue & {
  /** Counted from 1; null where the section is missing altogether. */
  line: number | null;
  /** What the file says; secrets appear as their length only. */
  found: string;
  expected: string;
};
