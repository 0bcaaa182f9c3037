import type { Binding } from "./binding.ts";
import type { Context } from "../context/context.ts";
import type { Account } from "../retries/account.ts";
import type { RequestRule } from "../rules/request_rule.ts";

/** A request to forward: from a caller, or nested, from the own backend server. */
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
   * Whether the execution token came with the request. Then an earlier send of
   * the caller may have run, whatever happens to this one.
   */
  callerToken: boolean;
  /** Binds a request without a token of its own; null: any fresh token does. */
  binding: Binding | null;
  /** Told when a hop below rejected for overload. */
  overloadedBelow: () => void;
};
