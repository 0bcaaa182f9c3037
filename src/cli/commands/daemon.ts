import createDebug from "debug";
import { z } from "zod";
import { installLogWriter } from "../../core/install_log_writer.ts";
import { argumentSchema } from "../argument_schema.ts";
import { defineCommand } from "../define_command.ts";
import { ExitStatus } from "../exit_status.ts";
import { loadSettings } from "../load_settings.ts";

/** Starts the daemon; its listeners keep the process alive after the return. */
export const daemon = defineCommand({
  usage: "daemon",
  summary: "Run the daemon of a backend server VM",
  options: {
    settings: {
      type: "string",
      requiresArg: true,
      describe: "Settings file, or - for standard input",
    },
  },
  examples: [["$0 daemon --settings settings/viti-levu.ini", ""]],
  schema: z.object({ settings: argumentSchema.file }),
  async run({ settings: file }, { err, startDaemon, onEndSignal }) {
    const loaded = loadSettings(file);
    if (!loaded.ok) {
      err(loaded.lines);
      return ExitStatus.usage;
    }
    const { log } = loaded.settings;
    if (log.namespaces !== "") createDebug.enable(log.namespaces);
    const writer = installLogWriter({ flushMs: log.flushMs });
    try {
      const { leave } = await startDaemon(loaded.settings);
      onEndSignal(leave);
      return ExitStatus.ok;
    } catch (error) {
      writer.uninstall();
      err(`Daemon could not start: ${(error as Error).message}\n`);
      return ExitStatus.failed;
    }
  },
});
