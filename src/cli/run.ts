import yargs from "yargs";
import manifest from "../../package.json" with { type: "json" };

/** Runs the command line; returns the exit status. */
export async function run(args: string[]): Promise<number> {
  const status = 0;
  await yargs(args)
    .scriptName("nutmegmoor")
    .version(manifest.version)
    .command("daemon", "Run the daemon of a backend server VM")
    .strict()
    .parseAsync();
  return status;
}
