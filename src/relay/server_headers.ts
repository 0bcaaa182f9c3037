import { formatContext } from "../context/format_context.ts";
import { Header } from "../context/header.ts";
import type { Attempt } from "./attempt.ts";

/**
 * Returns the headers for the backend server: it learns ids, deadline and
 * importance, but neither token nor retries, which the daemon keeps for it.
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
