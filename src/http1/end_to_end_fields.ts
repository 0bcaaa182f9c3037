import type { Fields } from "./fields.ts";

const NOT_FORWARDED: ReadonlySet<string> = new Set([
  "connection",
  "content-length",
  "expect",
  "keep-alive",
  "proxy-connection",
  "te",
  "trailer",
  "transfer-encoding",
  "upgrade",
]);

/**
 * Returns the fields that an intermediary forwards (RFC 9110, section 7.6.1),
 * except those in `dropped`, a set of lower-case names.
 */
export function endToEndFields(
  fields: Fields,
  dropped: ReadonlySet<string>,
): string[] {
  let connectionOptions: Set<string> | null = null;
  for (let i = 0; i < fields.length; i += 2) {
    if (fields[i]!.toLowerCase() !== "connection") continue;
    connectionOptions ??= new Set();
    for (const option of fields[i + 1]!.split(",")) {
      connectionOptions.add(option.trim().toLowerCase());
    }
  }
  const kept: string[] = [];
  for (let i = 0; i < fields.length; i += 2) {
    const name = fields[i]!.toLowerCase();
    if (
      NOT_FORWARDED.has(name) || dropped.has(name) ||
      connectionOptions?.has(name)
    ) continue;
    kept.push(fields[i]!, fields[i + 1]!);
  }
  return kept;
}
