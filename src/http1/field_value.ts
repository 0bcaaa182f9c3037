import type { Fields } from "./fields.ts";

/** Returns the value of the first field of a lower-case name. */
export function fieldValue(fields: Fields, name: string): string | undefined {
  for (let at = 0; at < fields.length; at += 2) {
    const candidate = fields[at]!;
    if (
      candidate.length === name.length && candidate.toLowerCase() === name
    ) return fields[at + 1];
  }
  return undefined;
}
