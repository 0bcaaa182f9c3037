import type { Fields } from "./fields.ts";

/** Returns the value of the first field with a name, given in lower case. */
export function fieldValue(fields: Fields, name: string): string | undefined {
  for (let i = 0; i < fields.length; i += 2) {
    const candidate = fields[i]!;
    if (
      candidate.length === name.length && candidate.toLowerCase() === name
    ) return fields[i + 1];
  }
  return undefined;
}
