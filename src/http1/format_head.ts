import type { Fields } from "./fields.ts";

/** Formats a start line and fields as the head of a message. */
export function formatHead(startLine: string, fields: Fields): string {
  let head = `${startLine}\r\n`;
  for (let i = 0; i < fields.length; i += 2) {
    head += `${fields[i]}: ${fields[i + 1]}\r\n`;
  }
  return `${head}\r\n`;
}
