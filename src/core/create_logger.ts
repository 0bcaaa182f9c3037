import createDebug from "debug";
import type { Logger } from "./logger.ts";

const NEEDS_QUOTES = /[\s"=\p{Cc}]/u;
// Execution tokens permit a run and their MAC is a credential as well; log the
// nonce instead.
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
 * Returns a logger that writes `event=… key=value …` lines through `debug`
 * under the namespace `nutmegmoor:<slice>`. Values of fields whose names stand
 * for secrets or bodies are replaced by `withheld`.
 */
export function createLogger(slice: string): Logger {
  const debug = createDebug(`nutmegmoor:${slice}`);
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
