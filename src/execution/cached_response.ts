/** A complete response, kept for resends with the same execution token. */
export type CachedResponse = {
  status: number;
  headers: Record<string, string | string[]>;
  body: Buffer;
};
