// Measures what a daemon holds and does at the planned size:
// node --import=tsx bench/capacity.ts memory|costs|join|spread|connections|transfer
import process from "node:process";
import { measureConnections } from "./capacity/measure_connections.ts";
import { measureCosts } from "./capacity/measure_costs.ts";
import { measureJoin } from "./capacity/measure_join.ts";
import { measureMemory } from "./capacity/measure_memory.ts";
import { measureSpread } from "./capacity/measure_spread.ts";
import { measureTransfer } from "./capacity/measure_transfer.ts";

const MEASURES: Record<string, () => void | Promise<void>> = {
  memory: measureMemory,
  costs: measureCosts,
  join: measureJoin,
  spread: measureSpread,
  connections: measureConnections,
  transfer: measureTransfer,
};

const measure = MEASURES[process.argv[2] ?? ""];
if (measure === undefined) {
  console.error(
    `Usage: bench/capacity.ts ${Object.keys(MEASURES).join("|")}`,
  );
  process.exitCode = 2;
} else await measure();
