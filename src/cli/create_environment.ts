import process from "node:process";
import type { Environment } from "./environment.ts";
import { signingHandlers } from "./signing_handlers.ts";

/** Returns the environment of a real process. */
export function createEnvironment(): Environment {
  // A reader such as head closes the pipe early; that is no failure.
  process.stdout.on("error", () => process.exit());
  return {
    out: (text) => process.stdout.write(text),
    err: (text) => process.stderr.write(text),
    rules: signingHandlers,
    onEndSignal: (listener) => {
      process.on("SIGTERM", listener);
      process.on("SIGINT", listener);
    },
    // Other commands start faster without the modules of the daemon.
    startDaemon: async (settings) => {
      const { startDaemon } = await import("../daemon/start_daemon.ts");
      return startDaemon(settings);
    },
  };
}
