import type { Attributes } from "./attributes.ts";

/** Encodes named values as DynamoDB JSON. */
export function encodeAttributes(
  values: Record<string, string | number>,
): Attributes {
  return Object.fromEntries(
    Object.entries(values).map(([name, value]) => [
      name,
      typeof value === "string" ? { S: value } : { N: String(value) },
    ]),
  );
}
