import type { Fields } from "./fields.ts";

const HOP_FIELDS: ReadonlySet<string> = new Set([
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
 * Returns the fields that pass through an intermediary (RFC 9110, section
 * 7.6.1), without those in `dropped`, which holds lower-case names.
 */
export function endToEndFields(
  fields: Fields,
  dropped: ReadonlySet<string>,
): string[] {
  let named: Set<string> | null = null;
  for (let at = 0; at < fields.length; at += 2) {
    if (fields[at]!.toLowerCase() !== "connection") continue;
    named ??= new Set();
    for (const option of fields[at + 1]!.split(",")) {
      named.add(option.trim().toLowerCase());
    }
  }
  const kept: string[] = [];
  for (let at = 0; at < fields.length; at += 2) {
    const name = fields[at]!.toLowerCase();
    if (HOP_FIELDS.has(name) || dropped.has(name) || named?.has(name)) continue;
    kept.push(fields[at]!, fields[at + 1]!);
  }
  return kept;
}
