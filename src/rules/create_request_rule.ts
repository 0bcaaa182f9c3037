import type { RequestOptions } from "./request_options.ts";
import type { RequestRule } from "./request_rule.ts";

const SAFE_METHODS = new Set<string>(["GET", "HEAD"]);
const DEFAULT_DEADLINE_MS = 5_000;

/**
 * Completes the options of a request with the defaults that also hold for a
 * request that no rule matches: no retries, and idempotent only for a safe
 * method.
 */
export function createRequestRule(
  name: string,
  options: RequestOptions,
): RequestRule {
  const method = options.method ?? "POST";
  return {
    name,
    method,
    path: `/${name}`,
    importance: "normal",
    idempotent: SAFE_METHODS.has(method),
    retries: 0,
    deadlineMs: DEFAULT_DEADLINE_MS,
    ...withoutUndefined(options),
  };
}

function withoutUndefined(options: RequestOptions): RequestOptions {
  return Object.fromEntries(
    Object.entries(options).filter(([, value]) => value !== undefined),
  );
}
