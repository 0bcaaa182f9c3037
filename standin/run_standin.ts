import process from "node:process";
import type { Standin } from "./standin.ts";

const DEFAULT_ACCESS_KEY = "test";

/**
 * Runs a stand-in as a process: `ADDRESS PORT [ACCESS-KEY]`. Prints one line
 * with its origin once it listens, and shuts down on SIGTERM.
 */
export async function runStandin(
  name: string,
  start: (
    options: { address: string; port: number; accessKey: string },
  ) => Promise<Standin>,
): Promise<void> {
  const [address = "127.0.0.1", port = "0", accessKey = DEFAULT_ACCESS_KEY] =
    process.argv.slice(2);
  const standin = await start({ address, port: Number(port), accessKey });
  console.log(`${name} listening on ${standin.origin}`);
  process.once("SIGTERM", () => standin.close());
}
