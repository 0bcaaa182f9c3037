import type { RequestRule } from "./request_rule.ts";

/**
 * What an operator declares about a request. Options left out get the defaults
 * given at `ServiceBuilder`.
 *
 * ```ts
 * const stockCheck: RequestOptions = { method: "GET", deadlineMs: 2_000 };
 * ```
 */
export type RequestOptions = Partial<Omit<RequestRule, "name">>;
