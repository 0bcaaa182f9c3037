import type { Fields } from "./fields.ts";

/** Writes a start line and fields as the head of a message. */
export function formatHead(startLine: string, fields: Fields): string {
  let head = `${startLine}\r\n`;
  for (let at = 0; at < fields.length; at += 2) {
    head += `${fields[at]}: ${fields[at + 1]}\r\n`;
  }
  return `${head}\r\n`;
}
