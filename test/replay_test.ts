import test from "ava";
import { readFileSync } from "node:fs";
import { outcomeOf } from "./record/outcome_of.ts";
import { createReplayer } from "./support/create_replayer.ts";

const TRACE = "test/traces/decisions.jsonl";
const lines = readFileSync(TRACE, "utf8").trim().split("\n")
  .map((line) => JSON.parse(line));
const CREATED = "createLedger";

test("replaying a recorded run gives the recorded decisions", (t) => {
  const run = createReplayer();
  for (const [number, line] of lines.entries()) {
    const [name, , [, recorded]] = line;
    const result = run(line);
    if (name === CREATED) continue;
    const outcome = JSON.parse(JSON.stringify(outcomeOf(name, result)));
    t.deepEqual(outcome, recorded, `${TRACE}:${number + 1}: ${name}`);
  }
});

test("the recorded run contains every kind of decision", (t) => {
  const kinds = new Set(
    lines.map(([name, , [, outcome]]) => `${name} ${outcome?.kind ?? ""}`),
  );
  for (const kind of ["run", "queued", "rejected"]) {
    t.true(kinds.has(`offer ${kind}`), kind);
  }
  for (const kind of ["new", "seen"]) {
    t.true(kinds.has(`admitToken ${kind}`), kind);
  }
  t.true(lines.some(([, , [, outcome]]) => outcome?.reason === "probe"));
});
