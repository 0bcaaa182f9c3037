import { cohortPriority } from "../context/cohort_priority.ts";
import type { Candidate } from "../routing/candidate.ts";
import { choose } from "../routing/choose.ts";
import { permits } from "../shedding/permits.ts";
import type { Relay } from "./relay.ts";

/**
 * Lowest priority of critical requests, which use most of the tokens. A daemon
 * that sheds this priority would reject the request, and its token is not valid
 * at any other daemon.
 */
const CRITICAL_PRIORITY = cohortPriority({ importance: "critical", cohort: 0 });
const NO_EXCLUSIONS: ReadonlySet<string> = new Set();

/**
 * Returns the daemon that is to issue a token for a caller, or null if there is
 * none. If every daemon sheds critical requests, none is excluded.
 */
export function pickTokenIssuer(
  relay: Relay,
  service: string,
): Candidate | null {
  const candidates = relay.candidates(service);
  const now = relay.clock();
  const exclude = new Set(
    candidates.map(({ address }) => address).filter((daemon) =>
      !permits(
        relay.shedding,
        { service, daemon, priority: CRITICAL_PRIORITY },
        now,
      )
    ),
  );
  const allShed = exclude.size === candidates.length;
  const query = {
    service,
    candidates,
    exclude: allShed ? NO_EXCLUSIONS : exclude,
  };
  const choice = choose(relay.routing, query, now, relay.random);
  relay.log("token", {
    service,
    daemon: choice.kind === "chosen" ? choice.candidate.address : undefined,
    reason: choice.reason,
  });
  return choice.kind === "chosen" ? choice.candidate : null;
}
