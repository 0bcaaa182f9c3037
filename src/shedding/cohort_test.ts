import test from "ava";
import fc from "fast-check";
import type { Context } from "../context/context.ts";
import { formatContext } from "../context/format_context.ts";
import { Importance } from "../context/importance.ts";
import { parseContext } from "../context/parse_context.ts";
import { requestPriority } from "../context/request_priority.ts";
import { createShedding } from "./create_shedding.ts";
import { recordLevel } from "./record_level.ts";
import { decideShedding } from "./decide_shedding.ts";

// A fixed seed makes the generated cases the same in every run.
fc.configureGlobal({ seed: 1, numRuns: 200 });

test("all hops shed the same requests", (t) => {
  fc.assert(fc.property(
    fc.stringMatching(/^[a-z0-9-]{1,32}$/),
    fc.constantFrom(...Importance.options),
    fc.array(fc.integer({ min: 0, max: 383 }), { minLength: 1, maxLength: 12 }),
    (requestId, importance, levels) => {
      const shedding = createShedding();
      let context: Context = {
        requestId,
        attemptId: "0",
        deadlineAt: 1000,
        importance,
        department: "harvest",
        retries: 0,
        token: null,
      };
      const admitted = levels.map((level, hop) => {
        const headers = formatContext({ ...context, attemptId: `${hop}` }, 0);
        const parsed = parseContext(headers, 0);
        if (!parsed.ok) throw new Error("Context was not parsed");
        context = parsed.value;
        const service = `hop-${hop}`;
        recordLevel(shedding, { service, daemon: "a", level }, 0);
        const query = {
          service,
          daemons: ["a"],
          priority: requestPriority(context),
        };
        return decideShedding(shedding, query, 0).kind === "open";
      });
      const admittedEverywhere =
        requestPriority({ requestId, importance }) >= Math.max(...levels);
      t.is(admitted.every(Boolean), admittedEverywhere);
    },
  ));
});
