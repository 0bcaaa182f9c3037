import type { Context } from "../context/context.ts";
import type { Account } from "../retries/account.ts";
import type { Exchange } from "./exchange.ts";

/** An inbound request in progress. Nested calls refer to it by attempt id. */
export type Parent = {
  context: Context;
  account: Account;
  /** Nested calls in progress; cancelled together with the parent. */
  children: Set<Exchange>;
  /** Start of the current period with nested calls in progress, in ms. */
  waitingSince: number;
  /** Total of the earlier periods with nested calls in progress, in ms. */
  nestedMs: number;
  /** Whether a nested call was rejected because of overload. */
  downstreamOverload: boolean;
};
