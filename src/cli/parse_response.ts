import type { z } from "zod";
import { parseJson } from "../core/parse_json.ts";
import type { DaemonResponse } from "./daemon_response.ts";

type Read<Value> =
  | { kind: "read"; value: Value }
  | { kind: "unreachable"; message: string }
  /** The daemon refused the request as a whole. */
  | { kind: "refused"; message: string }
  | { kind: "unknown"; message: string };

/** Interprets the answer of a daemon by a schema. */
export function parseResponse<Schema extends z.ZodType>(
  schema: Schema,
  answer: DaemonResponse,
): Read<z.infer<Schema>> {
  if (answer.kind !== "answered") return answer;
  const { status, text } = answer;
  const message = `The daemon answered with status ${status}`;
  if (status >= 400 && status < 500) return { kind: "refused", message };
  const parsed = parseJson(schema, text);
  if (status < 300 && parsed.ok) return { kind: "read", value: parsed.value };
  return { kind: "unknown", message: `${message} and an unreadable body` };
}
