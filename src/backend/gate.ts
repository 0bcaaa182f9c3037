import type { Job } from "./job.ts";

/**
 * Bounds what the backend server runs at once. What waits shares the server by
 * start-time fair queueing: a flow that asks for less than its share hardly
 * waits, whatever the others ask for.
 */
export type Gate = {
  /** Most requests that run at once. */
  limit: number;
  running: number;
  flows: Map<string, Flow>;
  waiting: number;
  /** Virtual time: the start tag of the job that started last. */
  virtualTimeMs: number;
  /** Mean time that a request runs, in ms. */
  meanRunMs: number;
};

type Flow = {
  jobs: Job[];
  weight: number;
  /** Virtual time at which the flow's last started job ends. */
  finishTagMs: number;
};
