import type { AnyRouter } from "@trpc/server";
import { z } from "zod";
import { answerExchange } from "./answer_exchange.ts";
import { controlTrpc } from "./control_trpc.ts";
import type { Directory } from "./directory.ts";
import { ExchangeRequest } from "./exchange_request.ts";
import { mergeMessage } from "./merge_message.ts";
import { PushMessage } from "./push_message.ts";
import type { RulesVersion } from "./rules_version.ts";

type Parts = {
  directory: Directory;
  now(): number;
  rules(): RulesVersion;
  /**
   * Called with the rules version that the sender of an exchange has in effect.
   */
  onPeerRules(peer: { address: string; rules: RulesVersion }): void;
  /** Probes a daemon on behalf of another one; true if it answered. */
  probe(address: string): Promise<boolean>;
};

const Target = z.strictObject({
  address: z.string().regex(/^[0-9a-f.:[\]]{1,58}:\d{1,5}$/),
});

/**
 * Returns the tRPC router of control calls between daemons. Other modules add
 * their routers, built with `controlTrpc`, under their own names.
 */
export function createControlRouter<Others extends Record<string, AnyRouter>>(
  { directory, now, rules, onPeerRules, probe }: Parts,
  others: Others,
) {
  const { procedure } = controlTrpc;
  return controlTrpc.router({
    exchange: procedure.input(ExchangeRequest).mutation(({ input }) => {
      onPeerRules({ address: input.from, rules: input.rules });
      return answerExchange(directory, input, { rules: rules() }, now());
    }),
    probe: procedure.mutation(() => ({
      instance: directory.identity.instance,
    })),
    indirectProbe: procedure.input(Target).mutation(async ({ input }) => {
      // Only members are probed, so that callers cannot scan other addresses.
      const known = directory.members.has(input.address);
      return { reached: known && await probe(input.address) };
    }),
    push: procedure.input(PushMessage).mutation(({ input }) => {
      const { reports } = input;
      mergeMessage(directory, { reports, spread: true }, now());
      return {};
    }),
    ...others,
  });
}
