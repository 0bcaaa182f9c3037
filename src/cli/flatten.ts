/** Flattens nested JSON into rows of a dotted field name and its value. */
export function flatten(value: unknown, name = ""): string[][] {
  if (value === null || typeof value !== "object") {
    return [[name, String(value)]];
  }
  return Object.entries(value).flatMap(([key, field]) =>
    flatten(field, name === "" ? key : `${name}.${key}`)
  );
}
