import type { createControlFetch } from "../security/create_control_fetch.ts";

/** Variants of `fetch` that sign control calls. */
export type ControlFetches = {
  fetch: ReturnType<typeof createControlFetch>;
  /**
   * With a longer time-out, for calls in which the recipient calls a third
   * daemon.
   */
  slowFetch: ReturnType<typeof createControlFetch>;
  close(): Promise<void>;
};
