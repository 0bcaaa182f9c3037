import type { ControlReply } from "./control_reply.ts";
import type { ExchangeRequest } from "./exchange_request.ts";
import type { ExchangeResponse } from "./exchange_response.ts";
import type { PushMessage } from "./push_message.ts";

/**
 * Control calls to other daemons. None of them throws: failures are results.
 */
export type ControlClient = {
  exchange(
    address: string,
    request: ExchangeRequest,
  ): Promise<ControlReply<ExchangeResponse>>;
  probe(address: string): Promise<boolean>;
  /** Lets a helper probe the target; `silent` if the helper did not answer. */
  indirectProbe(
    helper: string,
    target: string,
  ): Promise<"reached" | "unreached" | "silent">;
  push(address: string, message: PushMessage): Promise<boolean>;
};
