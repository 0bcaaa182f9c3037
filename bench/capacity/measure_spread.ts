import process from "node:process";
import { seededRandom } from "../../src/core/seeded_random.ts";
import type { Directory } from "../../src/membership/directory.ts";
import { choosePartner } from "../../src/membership/choose_partner.ts";
import { applyChanges } from "../../src/rules/apply_changes.ts";
import { changesSince } from "../../src/rules/changes_since.ts";
import { choosePushPeers } from "../../src/rules/choose_push_peers.ts";
import { createRules } from "../../src/rules/create_rules.ts";
import { createHeadNotice } from "../../src/rules/create_head_notice.ts";
import { receiveNotice } from "../../src/rules/receive_notice.ts";
import type { Rules } from "../../src/rules/rules.ts";
import { createInstallation } from "../membership/installation.ts";
import { applySection } from "../rules/apply_section.ts";
import { createDepartments } from "../rules/create_departments.ts";
import { createSection } from "../rules/create_section.ts";
import { departmentKeys } from "../rules/department_keys.ts";
import { PLAN } from "./plan.ts";

const SEEDS = [1, 2, 3, 4, 5];
const MAX_ROUNDS = 60;
/** Services of one department: one, so that pushes carry the change, or 13. */
const SERVICES = [1, 13];

type Fleet = {
  all: Directory[];
  rules: Rules[];
  positions: ReadonlyMap<string, number>;
  addresses: string[];
  lost(): boolean;
  random(): number;
  cost: { pushes: number; pulls: number; hops: number };
};

/**
 * Prints how a rules change that one daemon has read spreads to all: by pushes,
 * then by rounds of exchanges whose partners pull what they lack.
 */
export function measureSpread(): void {
  const { all, positions, peers } = createInstallation(PLAN.daemons);
  for (const directory of all) directory.peers = peers;
  const addresses = [...peers.values()].flat();
  for (const services of SERVICES) {
    for (const lossShare of [0, 0.1]) {
      for (const seed of SEEDS) {
        const random = seededRandom(seed);
        const lost = () => random() < lossShare;
        const cost = { pushes: 0, pulls: 0, hops: 0 };
        const rules = createFleetRules();
        const fleet = { all, rules, positions, addresses, lost, random, cost };
        const label = `services=${services} lost=${lossShare} seed=${seed}`;
        process.stdout.write(`${label} ${spread(fleet, services)}\n`);
      }
    }
  }
}

const departments = createDepartments(1);

function createFleetRules(): Rules[] {
  const empty = createRules({ departmentKeys: departmentKeys(departments) });
  return Array.from({ length: PLAN.daemons }, () => ({
    ...empty,
    sections: new Map(),
    services: new Map(),
    recent: [],
  }));
}

function spread(fleet: Fleet, services: number): string {
  const { rules, cost, random } = fleet;
  const first = Math.floor(random() * rules.length);
  applySection(
    rules[first]!,
    createSection(departments[0]!, { version: 1, services }),
  );
  push(fleet, [first]);
  const pushed = reached(rules);
  let rounds = 0;
  while (reached(rules) < rules.length && rounds < MAX_ROUNDS) {
    rounds++;
    gossip(fleet);
  }
  return `afterPushes=${(100 * pushed / rules.length).toFixed(2)}% ` +
    `hops=${cost.hops} gossipRounds=${rounds} ` +
    `reached=${reached(rules)} pushesPerDaemon=${
      (cost.pushes / rules.length).toFixed(2)
    } pullsPerDaemon=${(cost.pulls / rules.length).toFixed(2)}`;
}

const reached = (rules: Rules[]) =>
  rules.filter(({ record }) => record.sequence === 1).length;

/** Runs the pushes of daemons that have just put the change into effect. */
function push(fleet: Fleet, from: number[]): void {
  const { addresses, positions, random, lost, cost } = fleet;
  let wave = from;
  let hops = 0;
  while (wave.length > 0) {
    hops++;
    const next: number[] = [];
    for (const sender of wave) {
      for (const peer of choosePushPeers(addresses, random)) {
        cost.pushes++;
        if (lost()) continue;
        const index = positions.get(peer)!;
        if (take(fleet, { sender, receiver: index })) next.push(index);
      }
    }
    wave = next;
  }
  cost.hops = Math.max(cost.hops, hops);
}

function take(
  { rules, lost, cost }: Fleet,
  { sender, receiver }: { sender: number; receiver: number },
): boolean {
  const own = rules[receiver]!;
  const notice = createHeadNotice(rules[sender]!);
  const { push, pullAfter, issues } = receiveNotice(own, notice, 0);
  if (issues.length > 0) throw new Error(JSON.stringify(issues));
  if (pullAfter === undefined) return push;
  cost.pulls++;
  return !lost() && pull(own, rules[sender]!);
}

function pull(own: Rules, source: Rules): boolean {
  const delta = changesSince(source, own.record.sequence);
  if (delta.kind !== "changes") throw new Error("The source is too old");
  return applyChanges(own, delta.changes, 0).applied.length > 0;
}

/** Every daemon runs one exchange; either side pulls if it is behind. */
function gossip(fleet: Fleet): void {
  const { all, rules, positions, random, lost, cost } = fleet;
  for (const [index, directory] of all.entries()) {
    const partner = positions.get(choosePartner(directory, random, 0)!)!;
    if (partner === index || lost()) continue;
    const [one, two] = [rules[index]!, rules[partner]!];
    const order = one.record.sequence - two.record.sequence;
    if (order === 0 || lost()) continue;
    cost.pulls++;
    if (lost()) continue;
    if (pull(order < 0 ? one : two, order < 0 ? two : one)) {
      push(fleet, [order < 0 ? index : partner]);
    }
  }
}
