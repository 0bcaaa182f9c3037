import type { RequestListener, ServerResponse } from "node:http";
import { issueToken } from "../execution/issue_token.ts";
import type { Relay } from "../relay/relay.ts";

const MAX_TOKENS = 16;

/** Routes under `/-/` of the peer listener. */
export function peerApp({ relay }: { relay: Relay }): RequestListener {
  return (request, response) => {
    const url = new URL(request.url ?? "/", "http://daemon");
    request.resume();
    const route = ROUTES[url.pathname];
    if (route === undefined) return send(response, 404, "unknown path");
    route(relay, url.searchParams, response);
  };
}

const ROUTES: Record<
  string,
  (relay: Relay, query: URLSearchParams, response: ServerResponse) => void
> = {
  "/-/alive": (relay, query, response) => {
    const attempt = query.get("attempt") ?? "";
    const running = relay.parents.has(attempt);
    send(response, 200, running ? "running" : "not-known");
  },
  "/-/entry": (relay, _query, response) => {
    const { server } = relay;
    const leaving = relay.isLeaving() || server?.state === "leaving";
    const entry = server === null || leaving ? null : {
      address: relay.address,
      dataCentre: relay.routing.dataCentre,
      service: server.service,
      slots: server.slots,
      since: 0,
      warmupMs: server.warmupMs,
    };
    send(response, 200, JSON.stringify(entry));
  },
  "/-/tokens": (relay, query, response) => {
    if (relay.isLeaving() || relay.server === null) {
      return send(response, 503, "leaving");
    }
    const wanted = Number(query.get("count") ?? 1);
    const count = Math.max(1, Math.min(MAX_TOKENS, Math.floor(wanted) || 1));
    const now = relay.clock();
    const tokens = Array.from(
      { length: count },
      () => issueToken(relay.ledger, now),
    );
    send(response, 200, tokens.join(" "));
  },
};

function send(response: ServerResponse, status: number, text: string): void {
  response.writeHead(status, { "content-length": String(text.length) });
  response.end(text);
}
