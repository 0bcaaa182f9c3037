import test from "ava";
import fc from "fast-check";
import { seededRandom } from "../core/seeded_random.ts";
import { applyChanges } from "./apply_changes.ts";
import { changesSince } from "./changes_since.ts";
import { choosePollers } from "./choose_pollers.ts";
import { choosePushPeers } from "./choose_push_peers.ts";
import { createHeadNotice } from "./create_head_notice.ts";
import { pollDelay } from "./poll_delay.ts";
import { rankSources } from "./rank_sources.ts";
import { receiveNotice } from "./receive_notice.ts";
import { rulesHead } from "./rules_head.ts";
import { fixture } from "./test_fixture.ts";

const live = Array.from({ length: 40 }, (_, index) => `127.0.1.${index}:7001`);

test("the choice of pollers does not depend on the order of daemons", (t) => {
  const expected = choosePollers("suva", live);
  t.is(new Set(expected).size, 3);
  const orders = fc.shuffledSubarray(live, { minLength: live.length });
  fc.assert(fc.property(orders, (order) => {
    t.deepEqual(choosePollers("suva", order), expected);
  }));
  const [gone, ...kept] = expected;
  const rest = choosePollers("suva", live.filter((each) => each !== gone));
  t.deepEqual(rest.slice(0, 2), kept);
});

test("only pollers and isolated daemons poll the store", (t) => {
  const [poller = ""] = choosePollers("suva", live);
  const observer =
    live.find((each) => !choosePollers("suva", live).includes(each)) ?? "";
  const delay = (address: string, headReceivedAt: number | undefined) =>
    pollDelay(
      { address, dataCentre: "suva", live, headReceivedAt },
      10_000,
      () => 0.5,
    );
  t.is(delay(poller, 9_000), 2_000);
  t.is(delay(observer, 9_000), undefined);
  t.is(delay(observer, 1_000), 20_000);
  t.is(delay(observer, undefined), 20_000);
});

test("push peers are distinct, at most three", (t) => {
  const chosen = choosePushPeers(live, seededRandom(1));
  t.is(new Set(chosen).size, 3);
  t.deepEqual(choosePushPeers(live.slice(0, 1), seededRandom(1)), [live[0]]);
  t.deepEqual(choosePushPeers([], seededRandom(1)), []);
});

test("the source with the highest sequence comes first", (t) => {
  const reportedHead = (source: string, sequence: number) => ({
    source,
    head: { sequence, digest: "0".repeat(64), changeId: "" },
  });
  const ranked = rankSources([
    reportedHead("a", 0),
    reportedHead("b", 3),
    reportedHead("c", 9),
  ]);
  t.deepEqual(ranked.map(({ source }) => source), ["c", "b"]);
});

test("all daemons reach the newest head, whatever the order of notices", (t) => {
  const { nextChange, section, terms } = fixture;
  const step = fc.tuple(fc.nat({ max: 2 }), fc.nat({ max: 2 }), fc.boolean());
  fc.assert(
    fc.property(fc.array(step, { maxLength: 30 }), (steps) => {
      const daemons = [
        fixture.rules(),
        fixture.rules(),
        fixture.rules(),
      ] as const;
      const [writer] = daemons;
      const deliver = (from: number, to: number) => {
        const [sender, receiver] = [daemons[from], daemons[to]];
        if (!sender || !receiver) return;
        const { pullAfter, issues } = receiveNotice(
          receiver,
          createHeadNotice(sender),
          0,
        );
        t.deepEqual(issues, []);
        if (pullAfter === undefined) return;
        const delta = changesSince(sender, pullAfter);
        if (delta.kind === "changes") applyChanges(receiver, delta.changes, 0);
      };
      for (const [from, to, write] of steps) {
        const version = writer.record.sequence + 1;
        if (write) {
          const change = nextChange(
            writer,
            section(version, terms("rival", version % 9)),
          );
          applyChanges(writer, [change], 0);
        }
        deliver(from, to);
      }
      deliver(0, 1);
      deliver(1, 2);
      for (const each of daemons) {
        t.deepEqual(rulesHead(each), rulesHead(writer));
      }
    }),
    { numRuns: 50 },
  );
});

test("a notice with a forged change is reported and causes no pull", (t) => {
  const rules = fixture.rules();
  const forged = fixture.section(1, fixture.terms("rival"));
  const change = fixture.nextChange(rules, { ...forged, signatures: {} });
  const { sequence, digest, id } = change.record;
  const head = { sequence, digest, changeId: id };
  const { push, pullAfter, issues } = receiveNotice(rules, { head, change }, 0);
  t.deepEqual([push, pullAfter], [false, undefined]);
  t.is(issues[0]?.code, "signature-missing");
});
