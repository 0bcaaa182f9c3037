import process from "node:process";
import type { Environment } from "./environment.ts";
import { signingHandlers } from "./signing_handlers.ts";

/** Returns the environment of the current process. */
export function createEnvironment(): Environment {
  // A reader such as head may close the pipe early, which is not an error.
  process.stdout.on("error", () => process.exit());
  return {
    out: (text) => process.stdout.write(text),
    err: (text) => process.stderr.write(text),
    rules: signingHandlers,
    onEndSignal: (listener) => {
      process.on("SIGTERM", listener);
      process.on("SIGINT", listener);
    },
    // Imported on demand, since other commands start faster without its modules.
    startDaemon: async (settings) => {
      const { startDaemon } = await import("../daemon/start_daemon.ts");
      return startDaemon(settings);
    },
  };
}
