import createDebug from "debug";
import type { Logger } from "./logger.ts";

const NEEDS_QUOTES = /[\s"=\p{Cc}]/u;
// Execution tokens and their MACs are credentials: they authorize a run. Log
// the nonce of a token instead.
const WITHHELD_FIELDS: ReadonlySet<string> = new Set([
  "accessKey",
  "authorization",
  "body",
  "cookie",
  "installationKey",
  "key",
  "mac",
  "password",
  "privateKey",
  "secret",
  "secretKey",
  "token",
]);

/**
 * Returns a logger that writes lines of the form `event=… key=value …` through
 * `debug` in the namespace `nutmegmoor:<component>`. The values of fields that
 * may hold secrets or bodies are replaced by `withheld`.
 */
export function createLogger(component: string): Logger {
  const debug = createDebug(`nutmegmoor:${component}`);
  return (event, fields) => {
    if (!debug.enabled) return;
    let line = `event=${event}`;
    for (const key in fields) {
      const value = fields[key];
      if (value === undefined) continue;
      const text = WITHHELD_FIELDS.has(key) ? "withheld" : String(value);
      line += NEEDS_QUOTES.test(text)
        ? ` ${key}=${JSON.stringify(text)}`
        : ` ${key}=${text}`;
    }
    debug("%s", line);
  };
}
