import type { Fields } from "../http1/fields.ts";

/** The final answer to a request. */
export type Reply =
  /** What a backend server answered. */
  | { kind: "answer"; status: number; fields: Fields; body: Buffer }
  /** The request has not run and never will, so it is safe to send again. */
  | { kind: "refusal"; reason: string; retryAfterMs: number }
  /** The request may have run. */
  | { kind: "failure"; reason: string; expired: boolean }
  | { kind: "no-route" };
