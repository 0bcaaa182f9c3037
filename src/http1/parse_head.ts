import type { Fields } from "./fields.ts";

const FIELD_LINE = /^([!#$%&'*+\-.^_`|~0-9A-Za-z]+):[ \t]*([^\0\r\n]*)$/;
const TRAILING_SPACE = /[ \t]+$/;

/**
 * Splits the head of a message, without its empty line, into start line and
 * fields. Returns null where a line isn't a field: folded lines, spaces before
 * the colon and bare line ends are refused.
 */
export function parseHead(
  head: string,
): { startLine: string; fields: Fields } | null {
  const lines = head.split("\r\n");
  const startLine = lines[0]!;
  if (/[\0\r\n]/.test(startLine)) return null;
  const fields: string[] = [];
  for (let at = 1; at < lines.length; at++) {
    const match = FIELD_LINE.exec(lines[at]!);
    if (match === null) return null;
    fields.push(match[1]!, match[2]!.replace(TRAILING_SPACE, ""));
  }
  return { startLine, fields };
}
