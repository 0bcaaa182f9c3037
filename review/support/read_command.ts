import { readFileSync } from "node:fs";

/** Returns the command line with which the deploy file starts the daemon. */
export function readCommand(): string[] {
  const line = /^run = "(.*)"$/m.exec(
    readFileSync("deploy/system.toml", "utf8"),
  );
  if (line === null) throw new Error("deploy/system.toml names no command");
  return line[1]!.split(" ");
}
