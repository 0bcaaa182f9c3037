import type { RequestRule } from "./request_rule.ts";

/**
 * What an operator declares of a request; what is left out gets the default that
 * `ServiceBuilder` names.
 *
 * ```ts
 * const stockCheck: RequestOptions = { method: "GET", deadlineMs: 2_000 };
 * ```
 */
export type RequestOptions = Partial<Omit<RequestRule, "name">>;
