import type { z } from "zod";
import { parse } from "./parse.ts";
import type { Result } from "./result.ts";

/** Parses JSON, given as a string or UTF-8 bytes, with a schema. */
export function parseJson<Schema extends z.ZodType>(
  schema: Schema,
  json: string | Uint8Array,
): Result<z.infer<Schema>> {
  let input: unknown;
  try {
    input = JSON.parse(
      typeof json === "string" ? json : Buffer.from(json).toString("utf8"),
    );
  } catch {
    const message = "Expected JSON";
    return { ok: false, issues: [{ code: "invalid-json", path: [], message }] };
  }
  return parse(schema, input);
}
