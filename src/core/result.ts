import type { Issue } from "./issue.ts";

/** The outcome of parsing or checking input. */
export type Result<Value> =
  | { ok: true; value: Value }
  | { ok: false; issues: Issue[] };
