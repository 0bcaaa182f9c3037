import type { Issue } from "./issue.ts";

/** Result of parsing or validating input. */
export type Result<Value> =
  | { ok: true; value: Value }
  | { ok: false; issues: Issue[] };
