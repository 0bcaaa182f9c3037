import { spawn } from "node:child_process";
import process from "node:process";
import type { Member } from "./member.ts";

const MAX_LOG_CHUNKS = 2_000;
const START_TIMEOUT_MS = 20_000;

/** A process to start, and the output that shows that it is ready. */
type Plan = Omit<Member, "process" | "log"> & { ready: RegExp };

/** Starts a process and waits until its output matches `ready`. */
export function spawnMember(plan: Plan): Promise<Member> {
  const { ready, ...description } = plan;
  const child = spawn(description.command, description.args, {
    stdio: ["ignore", "pipe", "pipe"],
    env: { ...process.env, DEBUG_HIDE_DATE: "" },
  });
  const member: Member = { ...description, process: child, log: [] };
  return new Promise((resolve, reject) => {
    const timer = setTimeout(
      () =>
        reject(new Error(`${plan.name} was not ready in time: ${member.log}`)),
      START_TIMEOUT_MS,
    );
    const read = (chunk: Buffer) => {
      member.log.push(chunk.toString("utf8"));
      if (member.log.length > MAX_LOG_CHUNKS) member.log.shift();
      if (!ready.test(chunk.toString("utf8"))) return;
      clearTimeout(timer);
      resolve(member);
    };
    child.stdout!.on("data", read);
    child.stderr!.on("data", read);
    child.on("exit", (status, signal) => {
      clearTimeout(timer);
      reject(
        new Error(
          `${plan.name} exited with ${status ?? signal}: ${member.log}`,
        ),
      );
    });
  });
}
