import type { Command } from "./command.ts";

const UNKNOWN = /^Unknown arguments?: (.*)$/;
const NO_VALUE = /^Not enough arguments following: (.*)$/;
const NO_POSITIONAL = /^Not enough non-option arguments/;

/** Rewords an error of yargs: the argument, what was found and what is expected. */
export function describeUsageError(
  message: string,
  selected: Command | null,
): string {
  const unknown = UNKNOWN.exec(message)?.[1];
  if (unknown !== undefined) {
    return unknown.split(", ").map((name) =>
      `Argument ${name}: found an unknown name, expected one that --help lists`
    ).join("\n");
  }
  const noValue = NO_VALUE.exec(message)?.[1];
  if (noValue !== undefined) {
    return `Argument --${noValue}: found no value, expected one`;
  }
  if (!NO_POSITIONAL.test(message) || selected === null) return message;
  return Object.entries(selected.positionals).map(([name, describe]) =>
    `Argument <${name}>: found nothing, expected ${describe}`
  ).join("\n");
}
