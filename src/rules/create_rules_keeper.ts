import type { Issue } from "../core/issue.ts";
import type { Logger } from "../core/logger.ts";
import type { Random } from "../core/random.ts";
import { applyChanges } from "./apply_changes.ts";
import { applySnapshot } from "./apply_snapshot.ts";
import { choosePushPeers } from "./choose_push_peers.ts";
import { compareHead } from "./compare_head.ts";
import { notifyHead } from "./notify_head.ts";
import { pollDelay } from "./poll_delay.ts";
import { readChanges } from "./read_changes.ts";
import { readHead } from "./read_head.ts";
import { receiveNotice } from "./receive_notice.ts";
import { refreshRules } from "./refresh_rules.ts";
import type { Rules } from "./rules.ts";
import type { RulesClient } from "./rules_client.ts";
import type { RulesKeeper } from "./rules_keeper.ts";
import type { StoreFault } from "./store_fault.ts";
import type { Stores } from "./stores.ts";

const CHANGES_PER_READ = 50;

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
  polling: boolean;
  /** When a peer last reported its head, in ms. */
  heardAt: number | undefined;
  /** When the store was polled last, in ms. */
  polledAt: number;
};

/** Returns the keeper of a daemon's rules. Timers belong to the daemon. */
export function createRulesKeeper(parts: Parts): RulesKeeper {
  const state: State = {
    pulling: false,
    polling: false,
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
      if (delay !== undefined && now - state.polledAt >= delay) {
        poll(parts, state);
      }
    },
    poll: () => poll(parts, state),
  };
}

async function pull(
  parts: Parts,
  state: State,
  address: string,
): Promise<void> {
  if (state.pulling) return;
  state.pulling = true;
  try {
    while (await pullOnce(parts, address)) announce(parts);
  } finally {
    state.pulling = false;
  }
}

/** Returns whether the rules moved on, so that there may be more. */
async function pullOnce(parts: Parts, address: string): Promise<boolean> {
  const { rules, client, now } = parts;
  const delta = await client.pull(address, rules.record.sequence);
  if (delta === null) return false;
  if (delta.kind === "changes") {
    const { applied, issues } = applyChanges(rules, delta.changes, now());
    report(parts, address, issues);
    return applied.length > 0;
  }
  const known = Array.from(
    rules.sections.values(),
    ({ name, version, digest }) => ({ name, version, digest }),
  );
  const snapshot = await client.snapshot(address, known);
  if (snapshot === null) return false;
  const { applied, issues } = applySnapshot(rules, snapshot, now());
  report(parts, address, issues);
  return applied;
}

async function poll(parts: Parts, state: State): Promise<void> {
  const { stores, rules } = parts;
  if (stores === null || state.polling) return;
  state.polling = true;
  state.polledAt = parts.now();
  try {
    const before = rules.record.sequence;
    const fault = await readStore(parts, stores);
    if (fault !== undefined) logFault(parts, fault);
    if (rules.record.sequence > before) announce(parts);
  } finally {
    state.polling = false;
  }
}

async function readStore(
  { rules, now }: Parts,
  stores: Stores,
): Promise<StoreFault | undefined> {
  const read = await readHead(stores.table);
  if (read.kind !== "found") return read;
  const order = compareHead(rules, read.head);
  if (order.kind === "same") return undefined;
  if (order.kind !== "newer") return { kind: "invalid", issues: [order.issue] };
  const behind = read.head.sequence - order.after;
  if (order.after === 0 || behind > CHANGES_PER_READ) {
    return refreshRules(stores, rules);
  }
  const changes = await readChanges(stores, {
    after: order.after,
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
