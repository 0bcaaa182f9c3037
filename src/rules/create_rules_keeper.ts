import type { Issue } from "../core/issue.ts";
import type { Logger } from "../core/logger.ts";
import type { Random } from "../core/random.ts";
import { applyChanges } from "./apply_changes.ts";
import { applySnapshot } from "./apply_snapshot.ts";
import type { Change } from "./change.ts";
import { checkSections } from "./check_sections.ts";
import { choosePushPeers } from "./choose_push_peers.ts";
import { compareHead } from "./compare_head.ts";
import { mayAsk } from "./may_ask.ts";
import { noteAnswer } from "./note_answer.ts";
import { notifyHead } from "./notify_head.ts";
import { pollDelay } from "./poll_delay.ts";
import { readChanges } from "./read_changes.ts";
import { readHead } from "./read_head.ts";
import { receiveNotice } from "./receive_notice.ts";
import { refreshRules } from "./refresh_rules.ts";
import type { Refusals } from "./refusals.ts";
import type { Rules } from "./rules.ts";
import type { RulesClient } from "./rules_client.ts";
import type { RulesKeeper } from "./rules_keeper.ts";
import type { StoreFault } from "./store_fault.ts";
import type { Stores } from "./stores.ts";

const CHANGES_PER_READ = 50;
// Not an address, so that no peer can take its place.
const STORE = "store";

/** What a keeper works on. */
type Parts = {
  rules: Rules;
  /** Null where the settings name no platform. */
  stores: Stores | null;
  client: RulesClient;
  now(): number;
  random: Random;
  log: Logger;
  address: string;
  dataCentre: string;
  /** Live daemons of the own data centre, this one included. */
  live(): readonly string[];
  /** Other live daemons that a new head is pushed to. */
  peers(): readonly string[];
};

type State = {
  pulling: boolean;
  /** Settles when the poll in progress has ended. */
  polling: Promise<void> | undefined;
  refusals: Refusals;
  /** When a peer last reported its head, in ms. */
  heardAt: number | undefined;
  /** When the store was polled last, in ms. */
  polledAt: number;
};

/** Returns the keeper of a daemon's rules. Timers belong to the daemon. */
export function createRulesKeeper(parts: Parts): RulesKeeper {
  const state: State = {
    pulling: false,
    polling: undefined,
    refusals: new Map(),
    heardAt: undefined,
    polledAt: -Infinity,
  };
  return {
    noteHead(address, sequence) {
      state.heardAt = parts.now();
      if (sequence > parts.rules.record.sequence) pull(parts, state, address);
    },
    receive(address, notice) {
      state.heardAt = parts.now();
      const { push, pullAfter, issues } = receiveNotice(
        parts.rules,
        notice,
        parts.now(),
      );
      report(parts, address, issues);
      if (push) announce(parts);
      if (pullAfter !== undefined) pull(parts, state, address);
    },
    tick() {
      const now = parts.now();
      const { address, dataCentre, random } = parts;
      const { heardAt } = state;
      const view = { address, dataCentre, live: parts.live(), heardAt };
      const delay = pollDelay(view, now, random);
      const due = delay !== undefined && now - state.polledAt >= delay;
      if (due && mayAsk(state.refusals, STORE, now)) poll(parts, state);
    },
    async poll() {
      // A poll in progress may have read the head before the submit.
      await state.polling;
      await (state.polling ?? poll(parts, state));
    },
  };
}

async function pull(
  parts: Parts,
  state: State,
  address: string,
): Promise<void> {
  if (state.pulling) return;
  if (!mayAsk(state.refusals, address, parts.now())) return;
  state.pulling = true;
  try {
    while (await pullOnce(parts, state, address)) announce(parts);
  } finally {
    state.pulling = false;
  }
}

/** Returns whether the rules moved on, so that there may be more. */
async function pullOnce(
  parts: Parts,
  state: State,
  address: string,
): Promise<boolean> {
  const { rules, client, now } = parts;
  const delta = await client.pull(address, rules.record.sequence);
  if (delta === null) return false;
  const { applied, issues } = delta.kind === "changes"
    ? applyDelta(rules, delta.changes, now())
    : await pullSnapshot(parts, address);
  report(parts, address, issues);
  const refused = issues.length > 0;
  if (refused || applied) {
    noteAnswer(state.refusals, { source: address, refused }, now());
  }
  return applied && !refused;
}

type Application = { applied: boolean; issues: Issue[] };

function applyDelta(
  rules: Rules,
  changes: Change[],
  now: number,
): Application {
  const { applied, issues } = applyChanges(rules, changes, now);
  return { applied: applied.length > 0, issues };
}

async function pullSnapshot(
  { rules, client, now }: Parts,
  address: string,
): Promise<Application> {
  const known = Array.from(
    rules.sections.values(),
    ({ name, version, digest }) => ({ name, version, digest }),
  );
  const snapshot = await client.snapshot(address, known);
  if (snapshot === null) return { applied: false, issues: [] };
  const { passed, issues } = await checkSections(rules, snapshot.sections);
  if (issues.length > 0) return { applied: false, issues };
  // Another source can have been quicker, which is no fault of this one.
  const late = snapshot.record.sequence <= rules.record.sequence;
  return late
    ? { applied: false, issues: [] }
    : applySnapshot(rules, snapshot, now(), passed);
}

async function poll(parts: Parts, state: State): Promise<void> {
  const { stores } = parts;
  if (stores === null || state.polling !== undefined) return;
  state.polledAt = parts.now();
  state.polling = pollOnce(parts, state, stores);
  try {
    await state.polling;
  } finally {
    state.polling = undefined;
  }
}

async function pollOnce(
  parts: Parts,
  state: State,
  stores: Stores,
): Promise<void> {
  const { rules } = parts;
  const before = rules.record.sequence;
  const fault = await readStore(parts, state, stores);
  if (fault !== undefined) logFault(parts, fault);
  if (rules.record.sequence > before) announce(parts);
}

async function readStore(
  { rules, now }: Parts,
  { refusals }: State,
  stores: Stores,
): Promise<StoreFault | undefined> {
  const read = await readHead(stores.table);
  if (read.kind !== "found") return read;
  const order = compareHead(rules, read.head);
  if (order.kind === "same") return undefined;
  // One read, as usual: an older head or a fork needs no limit.
  if (order.kind !== "newer") return { kind: "invalid", issues: [order.issue] };
  const fault = read.head.sequence - order.after > CHANGES_PER_READ ||
      order.after === 0
    ? await refreshRules(stores, rules)
    : await readAhead(stores, rules, now);
  const refused = fault?.kind === "invalid";
  noteAnswer(refusals, { source: STORE, refused }, now());
  return fault;
}

async function readAhead(
  stores: Stores,
  rules: Rules,
  now: () => number,
): Promise<StoreFault | undefined> {
  const changes = await readChanges(stores, {
    after: rules.record.sequence,
    limit: CHANGES_PER_READ,
  });
  if (changes.kind !== "found") return changes;
  const { issues } = applyChanges(rules, changes.changes, now());
  return issues.length > 0 ? { kind: "invalid", issues } : undefined;
}

/** Pushes the head in effect to a few peers. */
function announce(parts: Parts): void {
  const { rules, client, random, log } = parts;
  const { sequence, id, digest } = rules.record;
  log("rules-in-effect", { sequence, change: id, digest: digest.slice(0, 12) });
  const notice = notifyHead(rules);
  for (const peer of choosePushPeers(parts.peers(), random)) {
    client.push(peer, notice);
  }
}

function report(parts: Parts, source: string, issues: Issue[]): void {
  for (const { code, message } of issues) {
    parts.log("rules-not-followed", { source, code, message });
  }
}

function logFault(parts: Parts, fault: StoreFault): void {
  if (fault.kind === "invalid") return report(parts, "store", fault.issues);
  parts.log("store-unavailable", { message: fault.message });
}
