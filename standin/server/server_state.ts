import type { Pool } from "undici";
import type { Control } from "./control.ts";
import type { ServerSettings } from "./server_settings.ts";

/** State of one stand-in backend server. */
export type ServerState = {
  settings: ServerSettings;
  control: Control;
  state: "up" | "leaving";
  inUse: number;
  /** Most slots ever in use at once, waiting ones included. */
  peak: number;
  waiting: (() => void)[];
  /** Runs by operation and key, the proof of what ran and how often. */
  runs: Map<string, number>;
  /** Response before the latest one, for the mode `reorder`. */
  previous: { attempt: string; body: string } | null;
  started: number;
  completed: number;
  daemon: Pool;
};
