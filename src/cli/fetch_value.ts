import type { z } from "zod";
import { sendDaemonRequest } from "./send_daemon_request.ts";
import type { DaemonRequest } from "./daemon_request.ts";
import { ExitStatus } from "./exit_status.ts";

type Fetched<Value> =
  | { ok: true; value: Value }
  | { ok: false; status: number; message: string };

const MAX_QUOTED_CHARACTERS = 200;

/** Sends a request to a daemon and validates the JSON of its response. */
export async function fetchValue<Schema extends z.ZodType>(
  schema: Schema,
  request: DaemonRequest,
): Promise<Fetched<z.infer<Schema>>> {
  const response = await sendDaemonRequest(request);
  const description = `${request.method} ${request.path} of ${request.daemon}`;
  if (response.kind !== "answered") {
    // An interrupted GET has changed nothing, so its outcome is not in doubt.
    const sent = response.kind === "unknown" && request.method !== "GET";
    return {
      ok: false,
      status: sent ? ExitStatus.unknown : ExitStatus.unreachable,
      message: sent
        ? `${description} was sent and its outcome is not known: ${response.message}`
        : `Cannot reach the daemon at ${request.daemon}: ${response.message}`,
    };
  }
  if (response.status >= 400) {
    const rejected = response.status < 500 || request.method !== "GET";
    return {
      ok: false,
      status: rejected ? ExitStatus.notAccepted : ExitStatus.malformedResponse,
      message: `${description}: found status ${response.status} ${
        quote(response.text)
      }`,
    };
  }
  const parsed = schema.safeParse(parseJson(response.text));
  if (parsed.success) return { ok: true, value: parsed.data };
  const [issue] = parsed.error.issues;
  return {
    ok: false,
    status: ExitStatus.malformedResponse,
    message: `${description}: found ${quote(response.text)}, ${
      issue!.path.join(".")
    } ${issue!.message}`,
  };
}

function parseJson(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    return undefined;
  }
}

function quote(text: string): string {
  return JSON.stringify(text.slice(0, MAX_QUOTED_CHARACTERS));
}
