import createDebug from "debug";
import process from "node:process";
import { formatWithOptions } from "node:util";
import type { LogWriter } from "./log_writer.ts";

// Counted in UTF-16 code units, which are bytes in nearly all lines; counting
// bytes on each line would cost more than it tells.
const FLUSH_AT_CHARACTERS = 64 * 1024;

/** Options of `debug` that its types leave out. */
const options = (createDebug as unknown as {
  inspectOpts: { hideDate?: boolean };
}).inspectOpts;

/**
 * Collects the lines of all loggers in one buffer. `debug` writes each line to
 * standard error synchronously, which cost 30 to 40% of the p50 of a relayed
 * call in a first trial. The buffer is written `flushMs` after its first line,
 * at 64 KiB, and when the process exits; a process that is killed loses it.
 */
export function installLogWriter(
  { flushMs, write = (text) => process.stderr.write(text) }: {
    flushMs: number;
    write?: (text: string) => void;
  },
): LogWriter {
  const original = { log: createDebug.log, hideDate: options.hideDate };
  const stamp = createStamp();
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
  options.hideDate = true;
  createDebug.log = (...parts: unknown[]) => {
    buffer += `${stamp()} ${formatLine(parts)}\n`;
    if (buffer.length >= FLUSH_AT_CHARACTERS) flush();
    else timer ??= setTimeout(flush, flushMs).unref();
  };
  process.on("exit", flush);
  process.stderr.on("error", ignore);
  return {
    flush,
    uninstall() {
      flush();
      createDebug.log = original.log;
      options.hideDate = original.hideDate;
      process.off("exit", flush);
      process.stderr.off("error", ignore);
    },
  };
}

/**
 * Formats the time once for all lines of a millisecond; `debug` does it for
 * each line, which is a quarter of its cost.
 */
function createStamp(): () => string {
  let formattedAt = 0;
  let text = "";
  return () => {
    const now = Date.now();
    if (now !== formattedAt) text = new Date(now).toISOString();
    formattedAt = now;
    return text;
  };
}

/** The lines of `createLogger` are `NAMESPACE %s` and one text. */
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

/** A log reader that closes its end of the pipe must not end the daemon. */
function ignore(): void {}
