import type { Attributes } from "./attributes.ts";
import type { Item } from "./item.ts";

/** Returns the row that DynamoDB JSON describes, or null without its keys. */
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
