import type { z } from "zod";
import { parseJson } from "../core/parse_json.ts";
import type { Reply } from "./reply.ts";

/**
 * Interprets the reply to a read. Reads have no effect, so any failure is
 * `unavailable`.
 */
export function readOutcome<Schema extends z.ZodType>(
  reply: Reply,
  schema: Schema,
):
  | { kind: "read"; value: z.infer<Schema> }
  | { kind: "unavailable"; message: string } {
  if (reply.kind !== "response") {
    return { kind: "unavailable", message: reply.message };
  }
  if (reply.status !== 200) {
    const message = `The table service answered ${reply.status}`;
    return { kind: "unavailable", message };
  }
  const parsed = parseJson(schema, reply.body);
  if (parsed.ok) return { kind: "read", value: parsed.value };
  const message = parsed.issues[0]?.message ?? "The response is malformed";
  return { kind: "unavailable", message };
}
