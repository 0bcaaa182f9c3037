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
const leavingDaemon = "suva:1";

/**
 * Creates an observer, with functions to receive a version of a daemon's entry
 * and to send a request. The leaving daemon rejects requests on demand.
 */
function setUp() {
  const identity = { address: "self:1", dataCentre: "suva", instance: "i" };
  const directory = createDirectory(identity, 0);
  const routing = createRouting("suva");
  const random = seededRandom(1);
  const receive = (
    address: string,
    sequence: number,
    state: "up" | "leaving",
  ) =>
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
    const outcome = leaves && address === leavingDaemon
      ? { kind: "not-run", reason: "leaving" } as const
      : { kind: "answered", status: 200 } as const;
    end(routing, { address, outcome, load: 0 }, now);
    return address;
  };
  receive(leavingDaemon, 0, "up");
  receive("suva:2", 0, "up");
  return { receive, send };
}

test("observer that missed the update sends at most one request per version", (t) => {
  const step = fc.oneof(
    { weight: 4, arbitrary: fc.constant(null) },
    { weight: 1, arbitrary: fc.nat({ max: 5 }) },
  );
  fc.assert(fc.property(fc.array(step, { maxLength: 60 }), (steps) => {
    const { receive, send } = setUp();
    let newest = 0;
    let sent = 0;
    for (const [now, version] of steps.entries()) {
      if (version !== null) {
        receive(leavingDaemon, version, version < 5 ? "up" : "leaving");
      }
      newest = Math.max(newest, version ?? 0);
      const chosen = send(now, true);
      if (chosen === leavingDaemon) sent += 1;
      if (newest === 5) t.not(chosen, leavingDaemon);
    }
    t.true(sent <= 1 + newest);
  }));
});

test("server that is up again gets requests from an observer that missed its leaving", (t) => {
  const { receive, send } = setUp();
  const chosen = (from: number, leaves: boolean) =>
    new Set(Array.from({ length: 40 }, (_, now) => send(from + now, leaves)));
  chosen(0, true);
  t.false(chosen(40, true).has(leavingDaemon));
  receive(leavingDaemon, 2, "up");
  t.true(chosen(80, false).has(leavingDaemon));
});
