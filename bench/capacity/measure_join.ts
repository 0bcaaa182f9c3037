import process from "node:process";
import type { Entry } from "../../src/membership/entry.ts";
import { runExchange } from "../membership/run_exchange.ts";
import { createEntry } from "./create_entry.ts";
import { knownDirectory } from "./known_directory.ts";
import { PLAN } from "./plan.ts";

const MAX_EXCHANGES = 200;
const LACKING = [PLAN.daemons - 2, PLAN.daemons - 2, 0, 1, 34, 100, 1_400];
const CHANGED = [34, 100, 1_400];

/**
 * Prints what it takes until two daemons agree, where one lacks that many
 * entries (a join) or has older versions of them (the end of a partition). The
 * first line only warms up the compiler.
 */
export function measureJoin(): void {
  const all = Array.from({ length: PLAN.daemons }, (_, i) => createEntry(i));
  for (const count of LACKING) {
    compare(`lacking ${count}`, [all.slice(0, PLAN.daemons - count), all]);
  }
  for (const count of CHANGED) {
    const old = all.map((entry, index) =>
      index >= PLAN.daemons - count ? { ...entry, sequence: 1 } : entry
    );
    compare(`older ${count}`, [old, all]);
  }
}

function compare(label: string, [fewer, all]: [Entry[], Entry[]]): void {
  const one = knownDirectory(0, fewer);
  const two = knownDirectory(1, all);
  const cost = { exchanges: 0, messages: 0, bytes: 0 };
  const before = process.cpuUsage();
  do runExchange([one, two], { cost, lost: () => false }, 0); while (
    one.digest !== two.digest && cost.exchanges < MAX_EXCHANGES
  );
  const { user, system } = process.cpuUsage(before);
  process.stdout.write(
    `${label}: exchanges=${cost.exchanges} messages=${cost.messages} ` +
      `jsonBytes=${cost.bytes} bothSidesCpuMs=${(user + system) / 1_000} ` +
      `agree=${one.digest === two.digest} news=${one.updates.size}\n`,
  );
}
