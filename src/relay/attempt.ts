import type { Context } from "../context/context.ts";

/** One attempt at a request, as it goes to an inbound daemon. */
export type Attempt = {
  context: Context;
  service: string;
  method: string;
  /** Path and query, with the service as first segment. */
  path: string;
  /** End-to-end headers, without context and hop-by-hop ones. */
  headers: Record<string, string | string[]>;
  body: Buffer | null;
  /** Execution tokens that the sender would like to have in advance. */
  tokensWanted: number;
};
