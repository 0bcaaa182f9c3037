import { createTRPCClient, httpLink } from "@trpc/client";
import { z } from "zod";
import { controlTrpc } from "../membership/control_trpc.ts";
import { Change } from "./change.ts";
import type { createRulesRouter } from "./create_rules_router.ts";
import type { RulesClient } from "./rules_client.ts";
import { RulesReport } from "./rules_report.ts";
import { Snapshot } from "./snapshot.ts";

type Fetch = NonNullable<Parameters<typeof httpLink>[0]["fetch"]>;
type Router = ReturnType<typeof nestRouter>;

const Delta = z.discriminatedUnion("kind", [
  z.object({ kind: z.literal("changes"), changes: z.array(Change) }),
  z.object({ kind: z.literal("too-old") }),
]);

/**
 * Returns a client for the control calls about rules, over tRPC. No call
 * throws: a failed push returns false, any other failed call null.
 */
export function createRulesClient({ fetch }: { fetch: Fetch }): RulesClient {
  const clientFor = (address: string) =>
    createTRPCClient<Router>({
      links: [httpLink({ url: `http://${address}/-/rpc`, fetch })],
    }).rules;
  return {
    pull: (address, after) =>
      nullOnError(async () =>
        Delta.parse(await clientFor(address).pull.mutate({ after }))
      ),
    snapshot: (address, known) =>
      nullOnError(async () =>
        Snapshot.nullable().parse(
          await clientFor(address).snapshot.mutate({ known }),
        )
      ),
    push: async (address, notice) =>
      await nullOnError(() => clientFor(address).push.mutate(notice)) !== null,
    report: (address, department) =>
      nullOnError(async () =>
        RulesReport.parse(
          await clientFor(address).report.mutate({ department }),
        )
      ),
  };
}

function nestRouter(rules: ReturnType<typeof createRulesRouter>) {
  return controlTrpc.router({ rules });
}

async function nullOnError<Value>(
  call: () => Promise<Value>,
): Promise<Value | null> {
  try {
    return await call();
  } catch {
    return null;
  }
}
