import type { Pool } from "undici";
import type { Sample } from "./sample.ts";

/** One send to an ingress listener. */
type Send = {
  method: string;
  path: string;
  key: string;
  headers?: Record<string, string>;
  timeoutMs: number;
};

type Result = Pick<Sample, "result" | "reason"> & { token: string | null };

/** Sends a request and checks that the response is whole and its own. */
export async function sendRequest(pool: Pool, send: Send): Promise<Result> {
  try {
    const response = await pool.request({
      method: send.method as "GET",
      path: send.path,
      headers: { "x-key": send.key, ...send.headers },
      signal: AbortSignal.timeout(send.timeoutMs),
    });
    const body = await response.body.text();
    const outcome = String(response.headers["nutmegmoor-outcome"]);
    const reason = String(response.headers["nutmegmoor-reason"] ?? "");
    const token = null;
    if (response.statusCode === 200) {
      return isOwn(body, send.key)
        ? { result: "good", reason: "", token }
        : { result: "wrong", reason: body.slice(0, 80), token };
    }
    if (outcome === "not-run" || outcome === "unknown") {
      return { result: outcome, reason, token };
    }
    return { result: "failed", reason: String(response.statusCode), token };
  } catch (error) {
    const reason = (error as Error).name;
    return { result: "unknown", reason, token: null };
  }
}

/** The body starts with a JSON object that repeats the key. */
function isOwn(body: string, key: string): boolean {
  return body.slice(0, 400).includes(`"key":${JSON.stringify(key)}`);
}
