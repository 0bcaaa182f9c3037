import type { z } from "zod";
import type { Command } from "./command.ts";
import type { Environment } from "./environment.ts";
import { ExitStatus } from "./exit_status.ts";

/** Defines a command whose arguments are validated by a schema before it runs. */
export function defineCommand<Schema extends z.ZodType>(
  { schema, run, ...definition }: Omit<Command, "run" | "positionals"> & {
    positionals?: Command["positionals"];
    schema: Schema;
    run(args: z.infer<Schema>, environment: Environment): Promise<number>;
  },
): Command {
  const positionals = definition.positionals ?? {};
  return {
    ...definition,
    positionals,
    async run(input, environment) {
      const parsed = schema.safeParse(input);
      if (parsed.success) return await run(parsed.data, environment);
      for (const issue of parsed.error.issues) {
        const name = String(issue.path[0] ?? "");
        const value = input[name];
        const argument = name in positionals ? `<${name}>` : `--${name}`;
        const found = value === undefined ? "nothing" : JSON.stringify(value);
        environment.err(
          `Argument ${argument}: found ${found}, expected ${issue.message}\n`,
        );
      }
      return ExitStatus.usage;
    },
  };
}
