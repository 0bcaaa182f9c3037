import type { LogLine } from "./log_line.ts";

const LINE = /(\d{4}-\d\d-\d\dT[\d:.]+Z) nutmegmoor:\S+ (event=.*)$/;
const FIELD = /([\w-]+)=("(?:[^"\\]|\\.)*"|\S*)/g;

/** Parses a line of a log; null if no daemon wrote it. */
export function parseLogLine(text: string, source: string): LogLine | null {
  const match = LINE.exec(text);
  if (match === null) return null;
  const fields = new Map<string, string>();
  for (const [, name, value] of match[2]!.matchAll(FIELD)) {
    fields.set(name!, value!.startsWith('"') ? unquote(value!) : value!);
  }
  const event = fields.get("event")!;
  fields.delete("event");
  return { at: Date.parse(match[1]!), source, event, fields };
}

/** Decodes a quoted value; one that was truncated is returned unchanged. */
function unquote(value: string): string {
  try {
    return JSON.parse(value);
  } catch {
    return value;
  }
}
