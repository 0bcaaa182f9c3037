import type { IncomingHttpHeaders } from "node:http";
import type { Result } from "../core/result.ts";
import type { Context } from "./context.ts";
import { Header } from "./header.ts";
import { Importance } from "./importance.ts";

const ID = /^[\w.:-]{1,128}$/;
const NAME = /^[a-z][a-z0-9-]{0,63}$/;
const TOKEN = /^[\w.:-]{1,256}$/;
const MAX_DEADLINE_MS = 600_000;
const MAX_RETRIES = 100;

/** Parses the context headers of a request relayed by a peer. */
export function parseContext(
  headers: IncomingHttpHeaders,
  now: number,
): Result<Context> {
  const requestId = headerValue(headers, Header.request);
  const attemptId = headerValue(headers, Header.attempt);
  const deadline = parseInteger(
    headerValue(headers, Header.deadline),
    MAX_DEADLINE_MS,
  );
  const importance = Importance.safeParse(
    headerValue(headers, Header.importance),
  );
  const department = headerValue(headers, Header.department);
  const retries = parseInteger(
    headerValue(headers, Header.retries),
    MAX_RETRIES,
  );
  const token = headerValue(headers, Header.token);
  if (!ID.test(requestId)) return malformed(Header.request);
  if (!ID.test(attemptId)) return malformed(Header.attempt);
  if (deadline === null) return malformed(Header.deadline);
  if (!importance.success) return malformed(Header.importance);
  if (!NAME.test(department)) return malformed(Header.department);
  if (retries === null) return malformed(Header.retries);
  if (token !== "" && !TOKEN.test(token)) return malformed(Header.token);
  return {
    ok: true,
    value: {
      requestId,
      attemptId,
      deadlineAt: now + deadline,
      importance: importance.data,
      department,
      retries,
      token: token === "" ? null : token,
    },
  };
}

function headerValue(headers: IncomingHttpHeaders, name: string): string {
  const value = headers[name];
  return typeof value === "string" ? value : "";
}

function parseInteger(text: string, max: number): number | null {
  if (!/^\d{1,9}$/.test(text)) return null;
  const value = Number(text);
  return value <= max ? value : null;
}

function malformed(name: string): Result<never> {
  return {
    ok: false,
    issues: [{
      code: "malformed_header",
      path: [name],
      message: `Header ${name} is missing or malformed`,
    }],
  };
}
