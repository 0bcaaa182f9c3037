import { request } from "undici";

const TIMEOUT_MS = 5_000;

/** Sends a request to a control route and returns the JSON response. */
export async function getJson<Value = Record<string, unknown>>(
  url: string,
  body?: unknown,
  method = body === undefined ? "GET" : "POST",
): Promise<Value> {
  const response = await request(url, {
    method: method as "GET",
    body: body === undefined ? null : JSON.stringify(body),
    headers: { "content-type": "application/json" },
    headersTimeout: TIMEOUT_MS,
  });
  return await response.body.json() as Value;
}
