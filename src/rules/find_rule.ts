import type { RequestRule } from "./request_rule.ts";
import type { ServiceRule } from "./service_rule.ts";

/** A request to match; the path is relative to the service. */
type Query = { method: string; path: string };

const SAFE_METHODS = new Set(["GET", "HEAD"]);
const DEFAULT_DEADLINE_MS = 5_000;

/**
 * Returns the first rule that matches. A request that no rule matches gets no
 * retries, and only a safe method counts as idempotent.
 */
export function findRule(
  service: ServiceRule | undefined,
  query: Query,
): RequestRule {
  for (const rule of service?.requests ?? []) {
    if (rule.method === query.method && matches(rule.path, query.path)) {
      return rule;
    }
  }
  return {
    name: "undeclared",
    method: query.method as RequestRule["method"],
    path: "/*",
    importance: "normal",
    idempotent: SAFE_METHODS.has(query.method),
    retries: 0,
    deadlineMs: DEFAULT_DEADLINE_MS,
  };
}

function matches(pattern: string, path: string): boolean {
  return pattern.endsWith("*")
    ? path.startsWith(pattern.slice(0, -1))
    : path === pattern;
}
