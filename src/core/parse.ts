import type { z } from "zod";
import type { Result } from "./result.ts";

/** Parses input with a schema and reports every problem as an issue. */
export function parse<Schema extends z.ZodType>(
  schema: Schema,
  input: unknown,
): Result<z.infer<Schema>> {
  const parsed = schema.safeParse(input);
  if (parsed.success) return { ok: true, value: parsed.data };
  return {
    ok: false,
    issues: parsed.error.issues.map((issue) => ({
      code: issue.code,
      path: issue.path.map((part) =>
        typeof part === "number" ? part : String(part)
      ),
      message: issue.message,
    })),
  };
}
