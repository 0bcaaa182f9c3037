import yargs, { type Argv } from "yargs";
import manifest from "../../package.json" with { type: "json" };
import type { Command } from "./command.ts";
import { commandTable } from "./command_table.ts";
import { createEnvironment } from "./create_environment.ts";
import type { Environment } from "./environment.ts";
import { describeUsageError } from "./describe_usage_error.ts";
import { ExitStatus } from "./exit_status.ts";

const NO_COMMAND = "Argument <command>: found nothing, expected a command";

const EPILOGUE = `Exit statuses:
  0 ok, 1 negative answer, 2 usage or settings error, 3 daemon unreachable,
  4 conflict, 5 outcome not known, 6 not accepted, 7 unreadable answer, 8 failed,
  9 accepted before, 10 waits for signatures, 11 rejected by the checks`;

/** Parses the arguments and runs the command; returns the exit status. */
export async function run(
  args: string[],
  environment: Environment = createEnvironment(),
): Promise<number> {
  let status: number = ExitStatus.ok;
  let selected: Command | null = null;
  const select = (command: Command) => {
    selected = command;
  };
  const execute = async (command: Command, input: Record<string, unknown>) => {
    status = await runCommand(command, input, environment);
  };
  const parser = createParser();
  for (const entry of commandTable) {
    if ("run" in entry) register(parser, { command: entry, select, execute });
    else {
      parser.command(entry.name, entry.summary, (group) => {
        for (const command of entry.commands) {
          register(group, { command, select, execute });
        }
        return group.demandCommand(1, NO_COMMAND);
      });
    }
  }
  try {
    await parser.parseAsync(args, {}, (_error, _argv, output) => {
      if (output !== "") environment.out(`${output}\n`);
    });
  } catch (error) {
    const { message } = error as Error;
    environment.err(`${describeUsageError(message, selected)}\n`);
    return ExitStatus.usage;
  }
  return status;
}

/** Wrapping is off, since yargs would break lines within words. */
function createParser(): Argv {
  return yargs().scriptName("nutmegmoor").locale("en").wrap(null)
    .version(manifest.version).strict().exitProcess(false).fail(false)
    .demandCommand(1, NO_COMMAND).epilogue(EPILOGUE);
}

async function runCommand(
  command: Command,
  input: Record<string, unknown>,
  environment: Environment,
): Promise<number> {
  try {
    return await command.run(input, environment);
  } catch (error) {
    // An uncaught error would end Node with status 1, which means a negative answer.
    environment.err(`Internal error: ${(error as Error).stack}\n`);
    return ExitStatus.failed;
  }
}

function register(
  parser: Argv,
  { command, select, execute }: {
    command: Command;
    select(command: Command): void;
    execute(command: Command, input: Record<string, unknown>): Promise<void>;
  },
): void {
  parser.command(
    command.usage,
    command.summary,
    (builder) => {
      select(command);
      for (const [name, describe] of Object.entries(command.positionals)) {
        builder.positional(name, { type: "string", describe });
      }
      return builder.options(command.options).example(command.examples);
    },
    (input) => execute(command, input),
  );
}
