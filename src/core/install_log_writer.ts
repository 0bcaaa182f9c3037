import createDebug from "debug";
import process from "node:process";
import { formatWithOptions } from "node:util";
import type { LogWriter } from "./log_writer.ts";

// Counted in UTF-16 code units, which equal bytes in nearly all lines; an exact
// byte count of every line is not worth its cost.
const FLUSH_AT_CHARACTERS = 64 * 1024;

/** Options of `debug` that are missing from its type declarations. */
const debugOptions = (createDebug as unknown as {
  inspectOpts: { hideDate?: boolean };
}).inspectOpts;

/**
 * Buffers the lines of all loggers. `debug` writes each line to standard error
 * synchronously, which took 30 to 40% of the p50 latency of a relayed call in a
 * trial. The buffer is written `flushMs` after its first line, when it reaches
 * 64 KiB, and when the process exits; it is lost if the process is killed.
 */
export function installLogWriter(
  { flushMs, write = (text) => process.stderr.write(text) }: {
    flushMs: number;
    write?: (text: string) => void;
  },
): LogWriter {
  const original = { log: createDebug.log, hideDate: debugOptions.hideDate };
  const timestamp = createTimestampFormatter();
  let buffer = "";
  let timer: NodeJS.Timeout | null = null;
  const flush = () => {
    if (timer !== null) clearTimeout(timer);
    timer = null;
    if (buffer === "") return;
    const text = buffer;
    buffer = "";
    write(text);
  };
  debugOptions.hideDate = true;
  createDebug.log = (...parts: unknown[]) => {
    buffer += `${timestamp()} ${formatLine(parts)}\n`;
    if (buffer.length >= FLUSH_AT_CHARACTERS) flush();
    else timer ??= setTimeout(flush, flushMs).unref();
  };
  process.on("exit", flush);
  process.stderr.on("error", ignoreError);
  return {
    flush,
    uninstall() {
      flush();
      createDebug.log = original.log;
      debugOptions.hideDate = original.hideDate;
      process.off("exit", flush);
      process.stderr.off("error", ignoreError);
    },
  };
}

/**
 * Returns a function that formats the current time, once per millisecond.
 * `debug` formats it for every line, which is a quarter of the cost of a line.
 */
function createTimestampFormatter(): () => string {
  let formattedAt = 0;
  let text = "";
  return () => {
    const now = Date.now();
    if (now !== formattedAt) text = new Date(now).toISOString();
    formattedAt = now;
    return text;
  };
}

/**
 * Formats the arguments of `debug`. Loggers pass a template that ends with `%s`
 * and a string, which need no general formatting.
 */
function formatLine(parts: unknown[]): string {
  const [template, text] = parts;
  if (
    parts.length === 2 && typeof template === "string" &&
    typeof text === "string" && template.endsWith("%s")
  ) {
    return template.slice(0, -2) + text;
  }
  return formatWithOptions({}, ...parts);
}

/** A log reader that closes its end of the pipe must not crash the daemon. */
function ignoreError(): void {}
