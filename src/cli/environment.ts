import type { Settings } from "../settings/settings.ts";
import type { RulesHandlers } from "./rules_handlers.ts";

/** Process facilities that commands use; tests substitute them. */
export type Environment = {
  out(text: string): void;
  err(text: string): void;
  rules: RulesHandlers;
  startDaemon(settings: Settings): Promise<{ leave(): void }>;
  /** Registers a callback for the signals that end the process. */
  onEndSignal(listener: () => void): void;
};
