import { formatContext } from "../context/format_context.ts";
import { Header } from "../context/header.ts";
import type { Attempt } from "./attempt.ts";

/**
 * Returns the request headers for the backend server. They contain the ids, the
 * deadline and the importance, but neither token nor retries, which the daemon
 * manages for its server.
 */
export function serverHeaders(
  attempt: Attempt,
  now: number,
): Record<string, string | string[]> {
  const headers = {
    ...attempt.headers,
    ...formatContext(attempt.context, now),
  };
  delete headers[Header.retries];
  delete headers[Header.token];
  return headers;
}
