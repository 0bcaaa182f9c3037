import { choose } from "../routing/choose.ts";
import type { Relay } from "./relay.ts";

const NOTHING: ReadonlySet<string> = new Set();

/** Returns the daemon whose token a caller gets, or null where there is none. */
export function pickForToken(relay: Relay, service: string): string | null {
  const candidates = relay.candidates(service);
  const query = { service, candidates, exclude: NOTHING };
  const choice = choose(relay.routing, query, relay.clock(), relay.random);
  relay.log("token", {
    service,
    daemon: choice.kind === "chosen" ? choice.candidate.address : undefined,
    reason: choice.reason,
  });
  return choice.kind === "chosen" ? choice.candidate.address : null;
}
