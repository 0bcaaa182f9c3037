import type { z } from "zod";
import { parse } from "../core/parse.ts";
import type { Result } from "../core/result.ts";

/** Parses a JSON body with a schema; text that is not JSON is an issue. */
export function parseJson<Schema extends z.ZodType>(
  schema: Schema,
  body: Buffer,
): Result<z.infer<Schema>> {
  let input: unknown;
  try {
    input = JSON.parse(body.toString());
  } catch {
    const message = "The body is not JSON";
    return { ok: false, issues: [{ code: "not-json", path: [], message }] };
  }
  return parse(schema, input);
}
