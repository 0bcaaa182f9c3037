import type { Issue } from "../core/issue.ts";

/** Why the rules could not be read: the platform is out, or a row is damaged. */
export type StoreFault =
  | { kind: "unavailable"; message: string }
  | { kind: "invalid"; issues: Issue[] };
