import type { Issue } from "../core/issue.ts";

/**
 * Why the rules could not be read: the store is unavailable, or a row or its
 * content is invalid.
 */
export type StoreFault =
  | { kind: "unavailable"; message: string }
  | { kind: "invalid"; issues: Issue[] };
