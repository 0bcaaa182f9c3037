import { createWriteStream } from "node:fs";

/** Starts the record of a run, one line for each event. */
export function startRecord(path) {
  const file = createWriteStream(path);
  const startedAt = performance.now();
  const record = (event, fields = {}) => {
    const s = ((performance.now() - startedAt) / 1_000).toFixed(3);
    file.write(`${s} ${event} ${JSON.stringify(fields)}\n`);
  };
  const end = () => new Promise((resolve) => file.end(resolve));
  return { record, end };
}

export const pause = (ms) => new Promise((resolve) => setTimeout(resolve, ms));

/** Waits until `holds` returns true; throws after `timeoutMs`. */
export async function until(what, holds, timeoutMs = 20_000) {
  const endAt = performance.now() + timeoutMs;
  while (!await holds()) {
    if (performance.now() > endAt) throw new Error(`timed out: ${what}`);
    await pause(50);
  }
}
