import type { Job } from "./job.ts";

/**
 * Limits how many requests the backend server runs at once. Waiting requests
 * are scheduled by start-time fair queueing: a flow that needs less than its
 * share waits little, however much the other flows demand.
 */
export type Gate = {
  /** Maximum number of requests that run at once. */
  limit: number;
  running: number;
  flows: Map<string, Flow>;
  waiting: number;
  /** Virtual time: the start tag of the job that started last. */
  virtualTimeMs: number;
  /** Mean run time of a request, in ms. */
  meanRunMs: number;
};

type Flow = {
  jobs: Job[];
  weight: number;
  /** Virtual time at which the job of this flow that started last ends. */
  finishTagMs: number;
};
