import type { Context } from "../context/context.ts";
import type { Account } from "../retries/account.ts";
import type { Exchange } from "./exchange.ts";

/** An inbound request in progress, which nested calls refer to by attempt id. */
export type Parent = {
  context: Context;
  account: Account;
  /** Nested calls in progress; cancelled together with the parent. */
  children: Set<Exchange>;
  /** Since when there is a nested call in progress, in ms. */
  waitingSince: number;
  /** Time with a nested call in progress before that, in ms. */
  nestedMs: number;
  /** Whether a nested call was rejected for overload. */
  downstreamOverload: boolean;
};
