import type { RequestLine } from "./request_line.ts";

const REQUEST_LINE =
  /^([!#$%&'*+\-.^_`|~0-9A-Za-z]+) (\/[\x21-\x7e]*) HTTP\/1\.[01]$/;

/**
 * Parses a request line. Returns null if it is malformed or its target is not a
 * path.
 */
export function parseRequestLine(line: string): RequestLine | null {
  const match = REQUEST_LINE.exec(line);
  return match === null ? null : { method: match[1]!, target: match[2]! };
}
