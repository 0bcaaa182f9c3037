import type { Outcome } from "../outcomes/outcome.ts";
import type { Call } from "./call.ts";

/** How resends of a request are recognized, or why it is rejected. */
export type RequestIdentity =
  | { ok: true; value: Pick<Call, "hasCallerToken" | "binding"> }
  | { ok: false; outcome: Outcome; detail?: string };
