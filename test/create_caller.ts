import type { Fleet } from "../fleet/fleet.ts";
import { Ports } from "../fleet/ports.ts";
import { sendRequest } from "../fleet/send_request.ts";
import { fetchToken } from "../fleet/fetch_token.ts";
import { Pool } from "undici";

/** Result of a critical request, with the reasons of failed sends. */
type RequestResult = { good: boolean; reasons: string[] };
type Request = { method: string; path: string };

const TIMEOUT_MS = 30_000;
/** Maximum number of sends per request. */
const SENDS = 4;

/** Returns a caller that retries at the next ingress listener after a `not-run` result. */
export function createCaller(fleet: Fleet) {
  const hosts = [
    ...new Set(
      fleet.members.filter(({ kind }) => kind === "daemon")
        .map(({ host }) => host),
    ),
  ];
  const pools = hosts.map((host) =>
    new Pool(`http://${host}:${Ports.ingress}`)
  );
  let nextPool = 0;
  const send = async ({ method, path }: Request): Promise<RequestResult> => {
    const key = crypto.randomUUID();
    const reasons: string[] = [];
    while (reasons.length < SENDS) {
      const pool = pools[nextPool++ % pools.length]!;
      const headers: Record<string, string> = {};
      if (method !== "GET") {
        const token = await fetchToken(pool, path, TIMEOUT_MS);
        // Without a token, the request is not sent.
        if (token === null) {
          reasons.push("no-token");
          continue;
        }
        headers["nutmegmoor-token"] = token;
      }
      const sent = { method, path, key, headers, timeoutMs: TIMEOUT_MS };
      const { result, reason } = await sendRequest(pool, sent);
      if (result === "good") return { good: true, reasons };
      reasons.push(`${result} ${reason}`);
      // undici reports a refused connection, on which no byte was sent, as a plain
      // Error.
      const retryable = result === "not-run" || reason === "Error";
      if (!retryable) break;
    }
    return { good: false, reasons };
  };
  const close = async () => {
    await Promise.all(pools.map((pool) => pool.destroy()));
  };
  return { send, close };
}
