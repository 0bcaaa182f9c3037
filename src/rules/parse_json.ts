import type { z } from "zod";
import { parse } from "../core/parse.ts";
import type { Result } from "../core/result.ts";

/** Parses JSON text with a schema. */
export function parseJson<Schema extends z.ZodType>(
  schema: Schema,
  text: string,
): Result<z.infer<Schema>> {
  try {
    return parse(schema, JSON.parse(text));
  } catch {
    const message = "Expected JSON";
    return { ok: false, issues: [{ code: "invalid-json", path: [], message }] };
  }
}
