import type { Options } from "yargs";
import type { Environment } from "./environment.ts";

/** One command of the program. */
export type Command = {
  /** Name and positional arguments, as in `check-settings <file>`. */
  usage: string;
  summary: string;
  positionals: Record<string, string>;
  options: Record<string, Options>;
  examples: [example: string, description: string][];
  /** Checks the arguments and runs the command; returns the exit status. */
  run(
    input: Record<string, unknown>,
    environment: Environment,
  ): Promise<number>;
};
