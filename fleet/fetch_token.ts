import type { Pool } from "undici";

/** Requests an execution token for a path; null if none was issued. */
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
