const MAX_TOKENS = 16;

/** Returns how many execution tokens a query asks for, 1 by default. */
export function tokenCount(query: URLSearchParams): number {
  const wanted = Math.floor(Number(query.get("count") ?? 1));
  return Math.max(1, Math.min(MAX_TOKENS, wanted || 1));
}
