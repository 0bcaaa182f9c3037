import type { IncomingHttpHeaders } from "node:http";
import type { Context } from "../context/context.ts";
import { Header } from "../context/header.ts";
import type { RequestRule } from "../rules/request_rule.ts";
import { nextId } from "./next_id.ts";
import type { Relay } from "./relay.ts";

/** Format of a request id. */
const ID = /^[\w.:-]{1,64}$/;
/** Format of a department name. */
const NAME = /^[a-z][a-z0-9-]{0,63}$/;
const TOKEN = /^[\w.:-]{1,256}$/;
/** The same bound as between daemons, see `parseContext`. */
const MAX_DEADLINE_MS = 600_000;
const NO_DEPARTMENT = "none";

/**
 * Creates the context of a root request. Importance and retries come from the
 * rules, never from the caller. For a malformed value of the caller, the name
 * of its header is returned.
 */
export function rootContext(
  relay: Relay,
  headers: IncomingHttpHeaders,
  rule: RequestRule,
): { ok: true; value: Context } | { ok: false; header: string } {
  const requestId = headers[Header.request] ?? nextId(relay);
  const named = headers[Header.department] ?? NO_DEPARTMENT;
  const token = headers[Header.token] ?? null;
  const deadline = headers[Header.deadline] ?? String(rule.deadlineMs);
  if (!matches(ID, requestId)) return { ok: false, header: Header.request };
  if (!matches(NAME, named)) return { ok: false, header: Header.department };
  // An unknown department would get a share of its own and take up memory in
  // the queue.
  const department = relay.departments.has(named) ? named : NO_DEPARTMENT;
  if (token !== null && !matches(TOKEN, token)) {
    return { ok: false, header: Header.token };
  }
  const valid = matches(/^\d{1,6}$/, deadline) &&
    Number(deadline) <= MAX_DEADLINE_MS;
  if (!valid) {
    return { ok: false, header: Header.deadline };
  }
  return {
    ok: true,
    value: {
      requestId,
      attemptId: nextId(relay),
      deadlineAt: relay.clock() + Number(deadline),
      importance: rule.importance,
      department,
      retries: 0,
      token,
    },
  };
}

function matches(
  pattern: RegExp,
  value: string | string[],
): value is string {
  return typeof value === "string" && pattern.test(value);
}
