/** Writes a structured log line; undefined fields are omitted. */
export type Logger = (
  event: string,
  fields: Record<string, string | number | boolean | undefined>,
) => void;
