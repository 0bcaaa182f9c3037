import type { Settings } from "../settings/settings.ts";
import type { RulesHandlers } from "./rules_handlers.ts";

/** What commands use of the world; tests replace it. */
export type Environment = {
  out(text: string): void;
  err(text: string): void;
  rules: RulesHandlers;
  startDaemon(settings: Settings): Promise<{ leave(): void }>;
  /** Calls back once when the process is asked to end. */
  onEndSignal(listener: () => void): void;
};
