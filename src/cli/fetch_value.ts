import type { z } from "zod";
import { sendDaemonRequest } from "./send_daemon_request.ts";
import type { DaemonRequest } from "./daemon_request.ts";
import { ExitStatus } from "./exit_status.ts";

type Fetched<Value> =
  | { ok: true; value: Value }
  | { ok: false; status: number; message: string };

const MAX_SHOWN_CHARACTERS = 200;

/** Asks a daemon and checks the JSON of its answer. */
export async function fetchValue<Schema extends z.ZodType>(
  schema: Schema,
  request: DaemonRequest,
): Promise<Fetched<z.infer<Schema>>> {
  const answer = await sendDaemonRequest(request);
  const what = `${request.method} ${request.path} of ${request.daemon}`;
  if (answer.kind !== "answered") {
    // A read that failed half-way has changed nothing.
    const sent = answer.kind === "unknown" && request.method !== "GET";
    return {
      ok: false,
      status: sent ? ExitStatus.unknown : ExitStatus.unreachable,
      message: sent
        ? `${what} was sent and its outcome is not known: ${answer.message}`
        : `Cannot reach the daemon at ${request.daemon}: ${answer.message}`,
    };
  }
  if (answer.status >= 400) {
    const refused = answer.status < 500 || request.method !== "GET";
    return {
      ok: false,
      status: refused ? ExitStatus.notAccepted : ExitStatus.malformedResponse,
      message: `${what}: found status ${answer.status} ${shorten(answer.text)}`,
    };
  }
  const parsed = schema.safeParse(parseJson(answer.text));
  if (parsed.success) return { ok: true, value: parsed.data };
  const [issue] = parsed.error.issues;
  return {
    ok: false,
    status: ExitStatus.malformedResponse,
    message: `${what}: found ${shorten(answer.text)}, ${
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

function shorten(text: string): string {
  return JSON.stringify(text.slice(0, MAX_SHOWN_CHARACTERS));
}
