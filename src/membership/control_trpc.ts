import { initTRPC } from "@trpc/server";

/** Builder of control procedures; the context names the authenticated sender. */
export const controlTrpc = initTRPC.context<{ sender: string }>().create({
  isDev: false,
});
