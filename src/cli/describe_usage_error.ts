import type { Command } from "./command.ts";

const UNKNOWN_ARGUMENT = /^Unknown arguments?: (.*)$/;
const MISSING_VALUE = /^Not enough arguments following: (.*)$/;
const MISSING_POSITIONAL = /^Not enough non-option arguments/;

/** Rewrites an error of yargs: the argument, what was found and what is expected. */
export function describeUsageError(
  message: string,
  selected: Command | null,
): string {
  const unknown = UNKNOWN_ARGUMENT.exec(message)?.[1];
  if (unknown !== undefined) {
    return unknown.split(", ").map((name) =>
      `Argument ${name}: found an unknown name, expected one that --help lists`
    ).join("\n");
  }
  const withoutValue = MISSING_VALUE.exec(message)?.[1];
  if (withoutValue !== undefined) {
    return `Argument --${withoutValue}: found no value, expected one`;
  }
  if (!MISSING_POSITIONAL.test(message) || selected === null) return message;
  return Object.entries(selected.positionals).map(([name, describe]) =>
    `Argument <${name}>: found nothing, expected ${describe}`
  ).join("\n");
}
