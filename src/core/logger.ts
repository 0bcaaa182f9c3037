/** Writes one structured log line; fields that are undefined are left out. */
export type Logger = (
  event: string,
  fields: Record<string, string | number | boolean | undefined>,
) => void;
