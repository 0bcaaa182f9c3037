import createDebug from "debug";
import type { Logger } from "./logger.ts";

const NEEDS_QUOTES = /[\s"=]/;

/**
 * Returns a logger that writes `event=… key=value …` lines through `debug`
 * under the namespace `nutmegmoor:<slice>`.
 */
export function createLogger(slice: string): Logger {
  const debug = createDebug(`nutmegmoor:${slice}`);
  return (event, fields) => {
    if (!debug.enabled) return;
    let line = `event=${event}`;
    for (const key in fields) {
      const value = fields[key];
      if (value === undefined) continue;
      const text = String(value);
      line += NEEDS_QUOTES.test(text)
        ? ` ${key}=${JSON.stringify(text)}`
        : ` ${key}=${text}`;
    }
    debug("%s", line);
  };
}
