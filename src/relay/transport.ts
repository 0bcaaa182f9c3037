import type { Attempt } from "./attempt.ts";
import type { Exchange } from "./exchange.ts";
import type { Reply } from "./reply.ts";

/** Sends an attempt to an inbound daemon, this one or another. */
export type Transport = (attempt: Attempt, reply: Reply) => Exchange;
