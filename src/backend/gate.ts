import type { Job } from "./job.ts";

/** Bounds what the backend server runs at once; the rest waits by class. */
export type Gate = {
  /** Most requests that run at once. */
  limit: number;
  running: number;
  /** Waiting jobs by class, the first class goes first. */
  queues: Job[][];
  waiting: number;
  /** Mean time that a request runs, in ms. */
  meanRunMs: number;
};
