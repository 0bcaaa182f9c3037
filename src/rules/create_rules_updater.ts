import type { Issue } from "../core/issue.ts";
import type { Logger } from "../core/logger.ts";
import type { Random } from "../core/random.ts";
import { applyChanges } from "./apply_changes.ts";
import { applySnapshot } from "./apply_snapshot.ts";
import { backoffElapsed } from "./backoff_elapsed.ts";
import type { Change } from "./change.ts";
import { checkSections } from "./check_sections.ts";
import { choosePushPeers } from "./choose_push_peers.ts";
import { compareHead } from "./compare_head.ts";
import { createHeadNotice } from "./create_head_notice.ts";
import { pollDelay } from "./poll_delay.ts";
import { readChanges } from "./read_changes.ts";
import { readHead } from "./read_head.ts";
import { receiveNotice } from "./receive_notice.ts";
import { refreshRules } from "./refresh_rules.ts";
import type { Rules } from "./rules.ts";
import type { RulesClient } from "./rules_client.ts";
import type { RulesUpdater } from "./rules_updater.ts";
import type { SourceBackoffs } from "./source_backoffs.ts";
import type { StoreFault } from "./store_fault.ts";
import type { Stores } from "./stores.ts";
import { updateBackoff } from "./update_backoff.ts";

const MAX_CHANGES_PER_READ = 50;
// Key of the store in the backoffs. Not an address, so no peer can have the
// same key.
const STORE = "store";

/** The dependencies of an updater. */
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
  /** Live daemons of this data centre, including this one. */
  live(): readonly string[];
  /** Other live daemons that a new head is pushed to. */
  peers(): readonly string[];
};

type State = {
  pulling: boolean;
  /** Settles when the poll in progress has ended. */
  pollInProgress: Promise<void> | undefined;
  backoffs: SourceBackoffs;
  /** When a peer last reported its head, in ms. */
  headReceivedAt: number | undefined;
  /** When the store was polled last, in ms. */
  polledAt: number;
};

/**
 * Returns the updater of a daemon's rules. It sets no timers; the daemon calls
 * `tick`.
 */
export function createRulesUpdater(parts: Parts): RulesUpdater {
  const state: State = {
    pulling: false,
    pollInProgress: undefined,
    backoffs: new Map(),
    headReceivedAt: undefined,
    polledAt: -Infinity,
  };
  return {
    observeHead(address, sequence) {
      state.headReceivedAt = parts.now();
      if (sequence > parts.rules.record.sequence) pull(parts, state, address);
    },
    receive(address, notice) {
      state.headReceivedAt = parts.now();
      const { push, pullAfter, issues } = receiveNotice(
        parts.rules,
        notice,
        parts.now(),
      );
      logIssues(parts, address, issues);
      if (push) pushHead(parts);
      if (pullAfter !== undefined) pull(parts, state, address);
    },
    tick() {
      const now = parts.now();
      const { address, dataCentre, random } = parts;
      const { headReceivedAt } = state;
      const view = { address, dataCentre, live: parts.live(), headReceivedAt };
      const delay = pollDelay(view, now, random);
      const due = delay !== undefined && now - state.polledAt >= delay;
      if (due && backoffElapsed(state.backoffs, STORE, now)) poll(parts, state);
    },
    async poll() {
      // A poll in progress may have read the head before the change was
      // submitted.
      await state.pollInProgress;
      await (state.pollInProgress ?? poll(parts, state));
    },
  };
}

async function pull(
  parts: Parts,
  state: State,
  address: string,
): Promise<void> {
  if (state.pulling) return;
  if (!backoffElapsed(state.backoffs, address, parts.now())) return;
  state.pulling = true;
  try {
    while (await pullOnce(parts, state, address)) pushHead(parts);
  } finally {
    state.pulling = false;
  }
}

/**
 * Pulls once. Returns true if rules were applied without issues, as the peer
 * may have more.
 */
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
  logIssues(parts, address, issues);
  const rejected = issues.length > 0;
  if (rejected || applied) {
    updateBackoff(state.backoffs, { source: address, rejected }, now());
  }
  return applied && !rejected;
}

type ApplyResult = { applied: boolean; issues: Issue[] };

function applyDelta(
  rules: Rules,
  changes: Change[],
  now: number,
): ApplyResult {
  const { applied, issues } = applyChanges(rules, changes, now);
  return { applied: applied.length > 0, issues };
}

async function pullSnapshot(
  { rules, client, now }: Parts,
  address: string,
): Promise<ApplyResult> {
  const known = Array.from(
    rules.sections.values(),
    ({ name, version, digest }) => ({ name, version, digest }),
  );
  const snapshot = await client.snapshot(address, known);
  if (snapshot === null) return { applied: false, issues: [] };
  const { passed, issues } = await checkSections(rules, snapshot.sections);
  if (issues.length > 0) return { applied: false, issues };
  // Another source may have delivered this state in the meantime, which is no
  // fault of this source.
  const outdated = snapshot.record.sequence <= rules.record.sequence;
  return outdated
    ? { applied: false, issues: [] }
    : applySnapshot(rules, snapshot, now(), passed);
}

async function poll(parts: Parts, state: State): Promise<void> {
  const { stores } = parts;
  if (stores === null || state.pollInProgress !== undefined) return;
  state.polledAt = parts.now();
  state.pollInProgress = pollOnce(parts, state, stores);
  try {
    await state.pollInProgress;
  } finally {
    state.pollInProgress = undefined;
  }
}

async function pollOnce(
  parts: Parts,
  state: State,
  stores: Stores,
): Promise<void> {
  const { rules } = parts;
  const sequenceBefore = rules.record.sequence;
  const fault = await updateFromStore(parts, state, stores);
  if (fault !== undefined) logFault(parts, fault);
  if (rules.record.sequence > sequenceBefore) pushHead(parts);
}

async function updateFromStore(
  { rules, now }: Parts,
  { backoffs }: State,
  stores: Stores,
): Promise<StoreFault | undefined> {
  const read = await readHead(stores.table);
  if (read.kind !== "found") return read;
  const order = compareHead(rules, read.head);
  if (order.kind === "same") return undefined;
  // This costs one read, like any poll, so it needs no backoff.
  if (order.kind !== "newer") return { kind: "invalid", issues: [order.issue] };
  const fault = read.head.sequence - order.after > MAX_CHANGES_PER_READ ||
      order.after === 0
    ? await refreshRules(stores, rules)
    : await applyStoredChanges(stores, rules, now);
  const rejected = fault?.kind === "invalid";
  updateBackoff(backoffs, { source: STORE, rejected }, now());
  return fault;
}

async function applyStoredChanges(
  stores: Stores,
  rules: Rules,
  now: () => number,
): Promise<StoreFault | undefined> {
  const changes = await readChanges(stores, {
    after: rules.record.sequence,
    limit: MAX_CHANGES_PER_READ,
  });
  if (changes.kind !== "found") return changes;
  const { issues } = applyChanges(rules, changes.changes, now());
  return issues.length > 0 ? { kind: "invalid", issues } : undefined;
}

/** Logs the head in effect and pushes it to a few peers. */
function pushHead(parts: Parts): void {
  const { rules, client, random, log } = parts;
  const { sequence, id, digest } = rules.record;
  log("rules-in-effect", { sequence, change: id, digest: digest.slice(0, 12) });
  const notice = createHeadNotice(rules);
  for (const peer of choosePushPeers(parts.peers(), random)) {
    client.push(peer, notice);
  }
}

function logIssues(parts: Parts, source: string, issues: Issue[]): void {
  for (const { code, message } of issues) {
    parts.log("rules-not-followed", { source, code, message });
  }
}

function logFault(parts: Parts, fault: StoreFault): void {
  if (fault.kind === "invalid") return logIssues(parts, "store", fault.issues);
  parts.log("store-unavailable", { message: fault.message });
}
