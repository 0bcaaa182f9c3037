import type { RequestRule } from "../rules/request_rule.ts";

/** What a request from a caller or backend server asks for. */
export type ResolvedRequest = {
  service: string;
  method: string;
  path: string;
  rule: RequestRule;
};
