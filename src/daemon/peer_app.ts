import type { RequestListener, ServerResponse } from "node:http";
import { issueToken } from "../execution/issue_token.ts";
import type { Relay } from "../relay/relay.ts";
import { tokenCount } from "./token_count.ts";

/** Returns the handler of paths under `/-/` on the peer listener. */
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
  // Returns which of the given attempts are in progress here, including resends
  // that wait for an execution.
  "/-/alive": (relay, query, response) => {
    const attempts = (query.get("attempt") ?? "").split(",");
    const running = attempts.filter((id) =>
      relay.parents.has(id) || relay.joined.has(id)
    );
    send(response, 200, running.join(","));
  },
  // Issues execution tokens, which are valid at this daemon only.
  "/-/tokens": (relay, query, response) => {
    const { server } = relay;
    if (relay.isLeaving() || server === null || server.state === "leaving") {
      return send(response, 503, "leaving");
    }
    const count = tokenCount(query);
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
