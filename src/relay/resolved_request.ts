import type { RequestRule } from "../rules/request_rule.ts";

/** Service and rule of a request from a caller or backend server. */
export type ResolvedRequest = {
  service: string;
  method: string;
  path: string;
  rule: RequestRule;
};
