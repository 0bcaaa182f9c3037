import type { Fleet } from "../fleet/fleet.ts";
import { Ports } from "../fleet/ports.ts";
import { sendRequest } from "../fleet/send_request.ts";
import { fetchToken } from "../fleet/fetch_token.ts";
import { Pool } from "undici";

/** What became of one critical request, with the reasons of earlier sends. */
type Fate = { good: boolean; reasons: string[] };
type Request = { method: string; path: string };

const TIMEOUT_MS = 30_000;
/** Ingress listeners that a caller tries. */
const SENDS = 4;

/** Returns a caller that goes to another ingress after a `not-run`. */
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
  let turn = 0;
  const send = async ({ method, path }: Request): Promise<Fate> => {
    const key = crypto.randomUUID();
    const reasons: string[] = [];
    while (reasons.length < SENDS) {
      const pool = pools[turn++ % pools.length]!;
      const headers: Record<string, string> = {};
      if (method !== "GET") {
        const token = await fetchToken(pool, path, TIMEOUT_MS);
        // A request without a token has not been sent.
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
      // A refused connection, which undici reports as a plain Error, has
      // carried no byte.
      const again = result === "not-run" || reason === "Error";
      if (!again) break;
    }
    return { good: false, reasons };
  };
  const close = async () => {
    await Promise.all(pools.map((pool) => pool.destroy()));
  };
  return { send, close };
}
