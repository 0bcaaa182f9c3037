const STATUS_LINE = /^HTTP\/1\.[01] ([1-5]\d\d)(?: |$)/;

/** Returns the status code of a status line, or null if it is malformed. */
export function parseStatusLine(line: string): number | null {
  const match = STATUS_LINE.exec(line);
  return match === null ? null : Number(match[1]);
}
