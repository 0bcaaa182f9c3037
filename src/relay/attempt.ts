import type { Context } from "../context/context.ts";

/** One attempt at a request, as sent to the daemon of a backend server. */
export type Attempt = {
  context: Context;
  service: string;
  method: string;
  /** Path and query, with the service as first segment. */
  path: string;
  /** End-to-end headers, without context and hop-by-hop ones. */
  headers: Record<string, string | string[]>;
  body: Buffer | null;
  /** Number of execution tokens that the sender requests in advance. */
  tokensWanted: number;
};
