import type { z } from "zod";
import { parseJson } from "../core/parse_json.ts";
import type { DaemonResponse } from "./daemon_response.ts";

type Parsed<Value> =
  | { kind: "read"; value: Value }
  | { kind: "unreachable"; message: string }
  /** The daemon rejected the request with a 4xx status. */
  | { kind: "refused"; message: string }
  | { kind: "unknown"; message: string };

/** Parses the response of a daemon with a schema. */
export function parseResponse<Schema extends z.ZodType>(
  schema: Schema,
  response: DaemonResponse,
): Parsed<z.infer<Schema>> {
  if (response.kind !== "answered") return response;
  const { status, text } = response;
  const message = `The daemon answered with status ${status}`;
  if (status >= 400 && status < 500) return { kind: "refused", message };
  const parsed = parseJson(schema, text);
  if (status < 300 && parsed.ok) return { kind: "read", value: parsed.value };
  return { kind: "unknown", message: `${message} and a malformed body` };
}
