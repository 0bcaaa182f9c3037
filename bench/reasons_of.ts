import type { Sample } from "../fleet/sample.ts";

/** Lists what became of the requests that were not answered whole. */
export function reasonsOf(samples: Sample[]): string {
  const counts = new Map<string, number>();
  for (const { importance, firstOutcome: first, result, reason } of samples) {
    if (result === "good") continue;
    const key = `${importance}: ${first}, then ${result} ${reason}`;
    counts.set(key, (counts.get(key) ?? 0) + 1);
  }
  return [...counts].sort(([, left], [, right]) => right - left)
    .map(([key, count]) => `${count} ${key}`).join("; ");
}
