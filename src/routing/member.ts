import type { Candidate } from "./candidate.ts";
import type { Observation } from "./observation.ts";

/** A candidate together with what was seen of it. */
export type Member = { candidate: Candidate; observation: Observation };
