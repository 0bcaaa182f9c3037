import type { Pool } from "undici";
import type { Control } from "./control.ts";
import type { ServerSettings } from "./server_settings.ts";

/** State of one stand-in backend server. */
export type ServerState = {
  settings: ServerSettings;
  control: Control;
  state: "up" | "leaving";
  inUse: number;
  /** Largest number of requests that ran or waited for a slot at once. */
  peak: number;
  waiting: (() => void)[];
  /** Number of runs by operation and key, from which tests see what ran how often. */
  runs: Map<string, number>;
  /** Latest response; the mode `reorder` sends it in reply to the next request. */
  previous: { attempt: string; body: string } | null;
  started: number;
  completed: number;
  daemon: Pool;
};
