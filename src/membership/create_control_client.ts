import { createTRPCClient, httpLink, TRPCClientError } from "@trpc/client";
import type { ControlClient } from "./control_client.ts";
import type { ControlReply } from "./control_reply.ts";
import type { createControlRouter } from "./create_control_router.ts";
import { ExchangeResponse } from "./exchange_response.ts";

type Router = ReturnType<typeof createControlRouter<Record<never, never>>>;
/** The part of `fetch` that tRPC links use; see `createControlFetch`. */
type Fetch = NonNullable<Parameters<typeof httpLink>[0]["fetch"]>;

/**
 * Returns a client for control calls over tRPC. The helper of an indirect probe
 * itself waits for the target, so `slowFetch` needs twice the timeout of
 * `fetch`.
 */
export function createControlClient(
  { fetch, slowFetch }: { fetch: Fetch; slowFetch: Fetch },
): ControlClient {
  const clientFor = (address: string, implementation = fetch) =>
    createTRPCClient<Router>({
      links: [
        httpLink({ url: `http://${address}/-/rpc`, fetch: implementation }),
      ],
    });
  return {
    exchange: (address, request) =>
      toReply(async () =>
        ExchangeResponse.parse(
          await clientFor(address).exchange.mutate(request),
        )
      ),
    async probe(address) {
      const reply = await toReply(() => clientFor(address).probe.mutate());
      return reply.kind !== "unreached";
    },
    async indirectProbe(helper, target) {
      const reply = await toReply(() =>
        clientFor(helper, slowFetch).indirectProbe.mutate({ address: target })
      );
      if (reply.kind !== "answered") return "silent";
      return reply.value.reached ? "reached" : "unreached";
    },
    async push(address, message) {
      const reply = await toReply(() =>
        clientFor(address).push.mutate(message)
      );
      return reply.kind === "answered";
    },
  };
}

async function toReply<Value>(
  call: () => Promise<Value>,
): Promise<ControlReply<Value>> {
  try {
    return { kind: "answered", value: await call() };
  } catch (error) {
    const message = error instanceof Error ? error.message : String(error);
    const isSigned = error instanceof TRPCClientError &&
      error.data !== undefined;
    return { kind: isSigned ? "refused" : "unreached", message };
  }
}
