import type { Context } from "./context.ts";
import { Header } from "./header.ts";

/**
 * Formats the context as request headers. The deadline is sent as the remaining
 * time, because `deadlineAt` refers to the local clock.
 */
export function formatContext(
  context: Context,
  now: number,
): Record<string, string> {
  const headers: Record<string, string> = {
    [Header.request]: context.requestId,
    [Header.attempt]: context.attemptId,
    [Header.deadline]: String(
      Math.max(0, Math.floor(context.deadlineAt - now)),
    ),
    [Header.importance]: context.importance,
    [Header.department]: context.department,
    [Header.retries]: String(context.retries),
  };
  if (context.token !== null) headers[Header.token] = context.token;
  return headers;
}
