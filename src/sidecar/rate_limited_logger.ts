import type { Logger } from "../core/logger.ts";

/**
 * A logger that limits the lines of each event per second. `flushDropped` logs
 * how many were dropped since its last call.
 */
export type RateLimitedLogger = { log: Logger; flushDropped(): void };
