import { cohortPriority } from "../context/cohort_priority.ts";
import type { Candidate } from "../routing/candidate.ts";
import { choose } from "../routing/choose.ts";
import { permits } from "../shedding/permits.ts";
import type { Relay } from "./relay.ts";

/**
 * Lowest priority of the class that tokens are mostly for. A daemon that sheds
 * it would reject the request, and its token cannot be used elsewhere.
 */
const CRITICAL = cohortPriority({ importance: "critical", cohort: 0 });
const NOTHING: ReadonlySet<string> = new Set();

/** Returns the daemon whose token a caller gets, or null where there is none. */
export function pickTokenIssuer(
  relay: Relay,
  service: string,
): Candidate | null {
  const candidates = relay.candidates(service);
  const now = relay.clock();
  const exclude = new Set(
    candidates.map(({ address }) => address).filter((daemon) =>
      !permits(relay.shedding, { service, daemon, priority: CRITICAL }, now)
    ),
  );
  const all = exclude.size === candidates.length;
  const query = { service, candidates, exclude: all ? NOTHING : exclude };
  const choice = choose(relay.routing, query, now, relay.random);
  relay.log("token", {
    service,
    daemon: choice.kind === "chosen" ? choice.candidate.address : undefined,
    reason: choice.reason,
  });
  return choice.kind === "chosen" ? choice.candidate : null;
}
