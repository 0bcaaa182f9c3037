import type { Pool } from "undici";

/** Gets an execution token for a path; null where there was none. */
export async function fetchToken(
  pool: Pool,
  path: string,
  timeoutMs: number,
): Promise<string | null> {
  try {
    const response = await pool.request({
      method: "POST",
      path: `/-/tokens/${path.split("/")[1]}`,
      signal: AbortSignal.timeout(timeoutMs),
    });
    const body = await response.body.json() as { tokens?: string[] };
    return body.tokens?.[0] ?? null;
  } catch {
    return null;
  }
}
