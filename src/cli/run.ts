import { readFileSync } from "node:fs";
import process from "node:process";
import createDebug from "debug";
import yargs from "yargs";
import manifest from "../../package.json" with { type: "json" };
import { startDaemon } from "../daemon/start_daemon.ts";
import { parseSettings } from "../settings/parse_settings.ts";

/** Runs the command line; returns the exit status. */
export async function run(args: string[]): Promise<number> {
  const status = 0;
  await yargs(args)
    .scriptName("nutmegmoor")
    .version(manifest.version)
    .command(
      "daemon",
      "Run the daemon of a backend server VM",
      { settings: { type: "string", demandOption: true } },
      async ({ settings: file }) => {
        const settings = parseSettings(readFileSync(file, "utf8"));
        if (!settings.ok) throw new Error(settings.issues[0]!.message);
        if (settings.value.log.namespaces !== "") {
          createDebug.enable(settings.value.log.namespaces);
        }
        const daemon = await startDaemon(settings.value);
        process.on("SIGTERM", () => void daemon.stop());
        await daemon.done;
      },
    )
    .strict()
    .parseAsync();
  return status;
}
