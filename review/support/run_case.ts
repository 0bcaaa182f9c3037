import process from "node:process";
import { createRecord, type Record } from "./create_record.ts";

// The whole script may take 120 s.
const MAX_MS = 115_000;
const HELD = 0;
const BROKEN = 1;
const NOT_RUN = 2;

/**
 * Runs a case and exits with 1 if it broke the rule, 0 if the rule held, and 2
 * if the case couldn't run.
 */
export async function runCase(
  run: (
    options: { record: Record; trouble: boolean; atEnd: (end: End) => void },
  ) => Promise<boolean>,
): Promise<void> {
  const record = createRecord();
  const trouble = process.env.TROUBLE !== "0";
  const ends: End[] = [];
  const finish = (status: number, text: string) => {
    record(text);
    process.stdout.write(`${text}\n`);
    for (const end of ends) end();
    process.exit(status);
  };
  setTimeout(() => finish(NOT_RUN, "result: not run, too slow"), MAX_MS);
  record(`disruption: ${trouble ? "on" : "off (TROUBLE=0)"}`);
  try {
    const broken = await run({
      record,
      trouble,
      atEnd: (end) => ends.push(end),
    });
    if (broken) finish(BROKEN, "result: the rule was broken");
    else finish(HELD, "result: the rule held");
  } catch (error) {
    finish(NOT_RUN, `result: not run, ${String(error)}`);
  }
}

type End = () => void;
