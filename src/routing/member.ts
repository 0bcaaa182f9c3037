import type { Candidate } from "./candidate.ts";
import type { Observation } from "./observation.ts";

/** A candidate together with the observation of it. */
export type Member = { candidate: Candidate; observation: Observation };
