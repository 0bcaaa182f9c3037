import test from "ava";
import fc from "fast-check";
import { seededRandom } from "../core/seeded_random.ts";
import { begin } from "../routing/begin.ts";
import { choose } from "../routing/choose.ts";
import { createRouting } from "../routing/create_routing.ts";
import { end } from "../routing/end.ts";
import { candidates } from "./candidates.ts";
import { createDirectory } from "./create_directory.ts";
import { merge } from "./merge.ts";

const service = "bookings";
const leaver = "suva:1";

/** An observer, and a daemon that rejects work from its version `leftAt` on. */
function setUp() {
  const identity = { address: "self:1", dataCentre: "suva", instance: "i" };
  const directory = createDirectory(identity, 0);
  const routing = createRouting("suva");
  const random = seededRandom(1);
  const hear = (address: string, sequence: number, state: "up" | "leaving") =>
    merge(directory, [{
      address,
      dataCentre: "suva",
      incarnation: 1,
      sequence,
      state,
      instance: address,
      server: { service, slots: 30, warmupMs: 0 },
    }], sequence);
  const send = (now: number, leaves: boolean) => {
    const choice = choose(
      routing,
      {
        service,
        candidates: candidates(directory, service),
        exclude: new Set(),
      },
      now,
      random,
    );
    if (choice.kind === "none") return null;
    const { address } = choice.candidate;
    begin(routing, address, now);
    const outcome = leaves && address === leaver
      ? { kind: "not-run", reason: "leaving" } as const
      : { kind: "answered", status: 200 } as const;
    end(routing, { address, outcome, load: 0 }, now);
    return address;
  };
  hear(leaver, 0, "up");
  hear("suva:2", 0, "up");
  return { hear, send };
}

test("observer that missed the news sends no more than one request for each version", (t) => {
  const step = fc.oneof(
    { weight: 4, arbitrary: fc.constant(null) },
    { weight: 1, arbitrary: fc.nat({ max: 5 }) },
  );
  fc.assert(fc.property(fc.array(step, { maxLength: 60 }), (steps) => {
    const { hear, send } = setUp();
    let newest = 0;
    let sent = 0;
    for (const [now, version] of steps.entries()) {
      if (version !== null) {
        hear(leaver, version, version < 5 ? "up" : "leaving");
      }
      newest = Math.max(newest, version ?? 0);
      const chosen = send(now, true);
      if (chosen === leaver) sent += 1;
      if (newest === 5) t.not(chosen, leaver);
    }
    t.true(sent <= 1 + newest);
  }));
});

test("server that is up again gets work from an observer that missed its leaving", (t) => {
  const { hear, send } = setUp();
  const chosen = (from: number, leaves: boolean) =>
    new Set(Array.from({ length: 40 }, (_, now) => send(from + now, leaves)));
  chosen(0, true);
  t.false(chosen(40, true).has(leaver));
  hear(leaver, 2, "up");
  t.true(chosen(80, false).has(leaver));
});
