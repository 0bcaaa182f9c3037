import process from "node:process";
import type { Result } from "../src/core/result.ts";

/** Prints a configuration, or every mistake in it with exit status 1. */
export function printResult(printed: Result<string>): void {
  if (printed.ok) return console.log(printed.value);
  for (const { code, path, message } of printed.issues) {
    console.error(`${path.join(".")}: ${message} (${code})`);
  }
  process.exitCode = 1;
}
