import { appendFileSync, writeFileSync } from "node:fs";
import { join } from "node:path";
import process from "node:process";

/** Writes what was sent, answered and run to `record.txt` of a case. */
export type Record = (line: string) => void;

/** Starts an empty record in the folder that `CASE_FOLDER` names. */
export function createRecord(): Record {
  const path = join(process.env.CASE_FOLDER ?? ".", "record.txt");
  writeFileSync(path, "");
  const startedAt = performance.now();
  return (line) => {
    const seconds = ((performance.now() - startedAt) / 1_000).toFixed(3);
    appendFileSync(path, `${seconds.padStart(8)} s  ${line}\n`);
  };
}
