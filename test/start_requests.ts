import { Pool } from "undici";
import type { Member } from "../fleet/member.ts";
import { Ports } from "../fleet/ports.ts";
import type { Sample } from "../fleet/sample.ts";
import { sendRequest } from "../fleet/send_request.ts";
import { fetchToken } from "../fleet/fetch_token.ts";

type Result = Pick<Sample, "result" | "reason">;

const TIMEOUT_MS = 30_000;

/** Sends concurrent requests to a daemon's ingress listener; the result waits for them. */
export async function startRequests(
  { host }: Member,
  { method, path, count }: { method: string; path: string; count: number },
): Promise<() => Promise<Result[]>> {
  const pool = new Pool(`http://${host}:${Ports.ingress}`);
  const keys = Array.from({ length: count }, () => crypto.randomUUID());
  const tokens = await Promise.all(
    keys.map(() =>
      method === "GET" ? undefined : fetchToken(pool, path, TIMEOUT_MS)
    ),
  );
  const results = keys.map((key, index) => {
    const token = tokens[index];
    const headers: Record<string, string> = {};
    if (token) headers["nutmegmoor-token"] = token;
    const send = { method, path, key, headers, timeoutMs: TIMEOUT_MS };
    return sendRequest(pool, send);
  });
  return async () => {
    const all = await Promise.all(results);
    await pool.destroy();
    return all;
  };
}
