import type { RequestRule } from "./request_rule.ts";

/** What an operator declares of a request; what is left out gets a safe default. */
export type RequestOptions = Partial<Omit<RequestRule, "name">>;
