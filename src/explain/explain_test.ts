import test from "ava";
import { explainRequest } from "./explain_request.ts";
import { formatExplanation } from "./format_explanation.ts";
import type { LogLine } from "./log_line.ts";
import { parseLogLine } from "./parse_log_line.ts";

const LOG = {
  "a.log": [
    "2026-12-04T12:00:00.000Z nutmegmoor:sidecar event=started name=a",
    "2026-12-04T12:00:08.000Z nutmegmoor:sidecar event=peer-lost peer=b " +
    'reason="connection closed" calls=3',
    "2026-12-04T12:00:08.001Z nutmegmoor:sidecar event=request-failed id=q1 " +
    "route=r server=i-1 attempts=1 ms=40 reason=link-lost",
    "2026-12-04T12:00:08.002Z nutmegmoor:sidecar event=request-answered id=q2",
    "some other text",
  ],
  "b.log": [
    "2026-12-04T12:00:07.990Z nutmegmoor:sidecar event=call-failed id=q1 " +
    "server=i-1 reason=connection-lost",
    "2026-12-04T12:00:01.000Z nutmegmoor:sidecar event=server-changed server=i-1",
  ],
};
const lines = Object.entries(LOG).flatMap(([file, texts]) =>
  texts.map((text) => parseLogLine(text, file)).filter((
    line,
  ): line is LogLine => line !== null)
);

test("quoted values are parsed completely", (t) => {
  t.is(lines[1]!.fields.get("reason"), "connection closed");
  t.is(lines[1]!.event, "peer-lost");
});

test("text that isn't a log line is skipped", (t) => {
  t.is(lines.length, 6);
});

test("decisions of all daemons on one request are in order of time", (t) => {
  const { decisions, context, verdict } = explainRequest(lines, "q1");
  t.deepEqual(decisions.map(({ event }) => event), [
    "call-failed",
    "request-failed",
  ]);
  t.deepEqual(context.map(({ event }) => event), ["peer-lost"]);
  t.is(
    verdict,
    "It may have run at server i-1: link-lost after 40 ms and 1 " +
      "attempts.",
  );
  t.regex(formatExplanation(explainRequest(lines, "q1")), /peer-lost peer=b/);
});

test("the verdict tells if a request has no log lines", (t) => {
  t.regex(explainRequest(lines, "q9").verdict, /No line/);
});
