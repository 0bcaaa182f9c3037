import type { RequestListener, ServerResponse } from "node:http";
import { obtainToken } from "../relay/obtain_token.ts";
import { obtainTokens } from "../relay/obtain_tokens.ts";
import { pickTokenIssuer } from "../relay/pick_token_issuer.ts";
import type { Relay } from "../relay/relay.ts";
import type { Candidate } from "../routing/candidate.ts";
import { tokenCount } from "./token_count.ts";

const TOKENS_PATH = /^\/-\/tokens\/([a-z][a-z0-9-]{0,63})$/;

/** Returns the handler of paths under `/-/` on the ingress listener. */
export function ingressApp({ relay }: { relay: Relay }): RequestListener {
  return async (request, response) => {
    request.resume();
    const url = new URL(request.url ?? "/", "http://daemon");
    const service = TOKENS_PATH.exec(url.pathname)?.[1];
    if (service === undefined) {
      return send(response, 404, { error: "Unknown path" });
    }
    if (request.method !== "POST") {
      return send(response, 405, { error: "Use POST to get tokens" });
    }
    const candidate = pickTokenIssuer(relay, service);
    if (candidate === null) {
      return send(response, 503, { error: `No server of service ${service}` });
    }
    const { address } = candidate;
    const count = tokenCount(url.searchParams);
    // A single token is taken from the cache if it holds one.
    const tokens = count === 1
      ? await obtainOne(relay, candidate)
      : await obtainTokens(relay, { address, count });
    if (tokens.length > 0) return send(response, 200, { tokens });
    send(response, 503, { error: `Daemon ${address} gave no token` });
  };
}

function obtainOne(relay: Relay, candidate: Candidate): Promise<string[]> {
  return new Promise((resolve) =>
    obtainToken(
      relay,
      candidate,
      (token) => resolve(token === null ? [] : [token]),
    )
  );
}

function send(
  response: ServerResponse,
  status: number,
  body: { tokens: string[] } | { error: string },
): void {
  const text = JSON.stringify(body);
  response.writeHead(status, {
    "content-type": "application/json",
    "content-length": String(Buffer.byteLength(text)),
  });
  response.end(text);
}
