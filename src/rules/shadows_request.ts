/** The fields that decide which requests a rule matches. */
type Pattern = { method: string; path: string };

/**
 * Returns whether the earlier rule matches every request that the later one
 * matches.
 */
export function shadowsRequest(earlier: Pattern, later: Pattern): boolean {
  if (earlier.method !== later.method) return false;
  return earlier.path.endsWith("*")
    ? later.path.startsWith(earlier.path.slice(0, -1))
    : later.path === earlier.path;
}
