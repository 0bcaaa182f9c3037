import type { Pool } from "undici";
import type { Sample } from "./sample.ts";

/** A request to an ingress listener. */
type Send = {
  method: string;
  path: string;
  key: string;
  headers?: Record<string, string>;
  timeoutMs: number;
};

type Result = Pick<Sample, "result" | "reason">;

/** Sends a request and checks that the response is complete and belongs to it. */
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
    if (response.statusCode === 200) {
      return isExpectedBody(body, send.key)
        ? { result: "good", reason: "" }
        : { result: "wrong", reason: body.slice(0, 80) };
    }
    if (outcome === "not-run" || outcome === "unknown") {
      return { result: outcome, reason };
    }
    return { result: "failed", reason: String(response.statusCode) };
  } catch (error) {
    const reason = (error as Error).name;
    return { result: "unknown", reason };
  }
}

/** Whether the body starts with a JSON object that echoes the key and ends with a newline. */
function isExpectedBody(body: string, key: string): boolean {
  return body.endsWith("\n") &&
    body.slice(0, 400).includes(`"key":${JSON.stringify(key)}`);
}
