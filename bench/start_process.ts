import { type ChildProcess, spawn } from "node:child_process";
import { once } from "node:events";
import process from "node:process";
import { createInterface } from "node:readline";

/** Starts a TypeScript main file and waits for the first line that it prints. */
export async function startProcess(
  file: string,
  args: string[],
): Promise<{ child: ChildProcess; line: string }> {
  const child = spawn(process.execPath, ["--import=tsx", file, ...args], {
    stdio: ["ignore", "pipe", "inherit"],
  });
  const exited = once(child, "exit").then(() => {
    throw new Error(`${file} ended before it listened`);
  });
  const lines = createInterface({ input: child.stdout! });
  const [line] = await Promise.race([once(lines, "line"), exited]);
  exited.catch(() => {});
  return { child, line: String(line) };
}
