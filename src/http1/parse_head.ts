import type { Fields } from "./fields.ts";

const FIELD_LINE = /^([!#$%&'*+\-.^_`|~0-9A-Za-z]+):[ \t]*([^\0\r\n]*)$/;
const TRAILING_SPACE = /[ \t]+$/;

/**
 * Splits the head of a message, without its empty line, into start line and
 * fields. Returns null if a line is not a valid field: folded lines, spaces
 * before the colon and bare CR or LF are rejected.
 */
export function parseHead(
  head: string,
): { startLine: string; fields: Fields } | null {
  const lines = head.split("\r\n");
  const startLine = lines[0]!;
  if (/[\0\r\n]/.test(startLine)) return null;
  const fields: string[] = [];
  for (let i = 1; i < lines.length; i++) {
    const match = FIELD_LINE.exec(lines[i]!);
    if (match === null) return null;
    fields.push(match[1]!, match[2]!.replace(TRAILING_SPACE, ""));
  }
  return { startLine, fields };
}
