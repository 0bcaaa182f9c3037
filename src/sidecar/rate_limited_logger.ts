import type { Logger } from "../core/logger.ts";

/** A logger with a bounded volume, and what it left out so far. */
export type RateLimitedLogger = { log: Logger; flushDropped(): void };
