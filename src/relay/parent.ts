import type { Context } from "../context/context.ts";
import type { Account } from "../retries/account.ts";
import type { Exchange } from "./exchange.ts";

/** An inbound request in progress, which nested calls refer to by attempt id. */
export type Parent = {
  context: Context;
  account: Account;
  /** Nested calls in progress; cancelled together with the parent. */
  children: Set<Exchange>;
  /** Whether a nested call was rejected for overload. */
  overloadedBelow: boolean;
};
