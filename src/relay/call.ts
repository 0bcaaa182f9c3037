import type { Binding } from "./binding.ts";
import type { Context } from "../context/context.ts";
import type { Account } from "../retries/account.ts";
import type { RequestRule } from "../rules/request_rule.ts";

/**
 * A request to forward: from a caller, or nested, from the local backend
 * server.
 */
export type Call = {
  /** The attempt id and retries in it are replaced for each attempt. */
  context: Context;
  service: string;
  rule: RequestRule;
  method: string;
  path: string;
  headers: Record<string, string | string[]>;
  body: Buffer | null;
  account: Account;
  /**
   * Whether the caller supplied the execution token. An earlier send may then
   * have run, whatever the outcome of this one.
   */
  hasCallerToken: boolean;
  /** Binds a request without a token; null where any fresh token will do. */
  binding: Binding | null;
  /** Called when a downstream hop rejected the call because of overload. */
  onDownstreamOverload: () => void;
};
