import { readFileSync } from "node:fs";

const TICKS_PER_SECOND = 100;
const KIB = 1024;

/** Returns CPU time in ms and resident memory in MiB of a process (Linux). */
export function cpuOf(pid: number): { cpuMs: number; rssMib: number } {
  const stat = readFileSync(`/proc/${pid}/stat`, "utf8");
  const fields = stat.slice(stat.lastIndexOf(")") + 2).split(" ");
  const ticks = Number(fields[11]) + Number(fields[12]);
  const status = readFileSync(`/proc/${pid}/status`, "utf8");
  const rss = Number(/VmRSS:\s+(\d+)/.exec(status)?.[1] ?? 0);
  return { cpuMs: ticks * 1000 / TICKS_PER_SECOND, rssMib: rss / KIB };
}
