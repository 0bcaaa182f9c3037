import type { createControlFetch } from "../security/create_control_fetch.ts";

/** Signed fetches for control calls. */
export type ControlFetches = {
  fetch: ReturnType<typeof createControlFetch>;
  /** For calls in which the other daemon itself waits for a third. */
  slowFetch: ReturnType<typeof createControlFetch>;
  close(): Promise<void>;
};
