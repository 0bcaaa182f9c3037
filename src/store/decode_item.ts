import type { Attributes } from "./attributes.ts";
import type { Item } from "./item.ts";

/** Decodes a row from DynamoDB JSON; null if one of its keys is missing. */
export function decodeItem(attributes: Attributes): Item | null {
  const { partition, sort, ...rest } = attributes;
  if (!partition || !sort || !("S" in partition) || !("S" in sort)) return null;
  return {
    partition: partition.S,
    sort: sort.S,
    attributes: Object.fromEntries(
      Object.entries(rest).map(([name, value]) => [
        name,
        "S" in value ? value.S : Number(value.N),
      ]),
    ),
  };
}
