import type { RequestListener, ServerResponse } from "node:http";
import { obtainToken } from "../relay/obtain_token.ts";
import { pickForToken } from "../relay/pick_for_token.ts";
import type { Relay } from "../relay/relay.ts";

const TOKENS = /^\/-\/tokens\/([a-z][a-z0-9-]{0,63})$/;

/** Routes under `/-/` of the ingress listener. */
export function ingressApp({ relay }: { relay: Relay }): RequestListener {
  return (request, response) => {
    request.resume();
    const service = TOKENS.exec(request.url ?? "")?.[1];
    if (service === undefined) {
      return send(response, 404, { error: "Unknown path" });
    }
    if (request.method !== "POST") {
      return send(response, 405, { error: "Use POST to get a token" });
    }
    const address = pickForToken(relay, service);
    if (address === null) {
      return send(response, 503, { error: `No server of service ${service}` });
    }
    obtainToken(relay, address, (token) => {
      if (token !== null) return send(response, 200, { token });
      send(response, 503, { error: `Daemon ${address} gave no token` });
    });
  };
}

function send(
  response: ServerResponse,
  status: number,
  body: { token: string } | { error: string },
): void {
  const text = JSON.stringify(body);
  response.writeHead(status, {
    "content-type": "application/json",
    "content-length": String(Buffer.byteLength(text)),
  });
  response.end(text);
}
