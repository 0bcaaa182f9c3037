/** A finished response kept for resends of its execution token. */
export type CachedResponse = {
  status: number;
  headers: Record<string, string | string[]>;
  body: Buffer;
};
