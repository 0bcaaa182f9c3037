// Runs soak tests on a site of processes: npm run soak -- [SEED] [COUNT] [AT_ONCE] [VMS]
import { writeFileSync } from "node:fs";
import process from "node:process";
import { runSoak } from "./run_soak.ts";

const FIRST_NETWORK = 130;
const DURATION_MS = 12_000;
const FAULTS_PER_S = 1;
const REQUESTS_PER_S = 120;

const [seed = Date.now() % 1_000_000, count = 1, atOnce = 1, vms = 3] = process
  .argv.slice(2).map(Number);
let next = 0;
let failed = 0;
const worker = async (_: unknown, index: number) => {
  while (next < count) {
    const report = await runSoak({
      seed: seed + next++,
      net: FIRST_NETWORK + index,
      vmsPerService: vms,
      forMs: DURATION_MS,
      faultsPerS: FAULTS_PER_S,
      requestsPerS: REQUESTS_PER_S,
    });
    const { violations, requests, byStatus } = report;
    if (violations.length > 0) {
      failed++;
      writeFileSync(
        `soak-${report.seed}.json`,
        JSON.stringify(report, null, 2),
      );
    }
    console.log(
      `seed ${report.seed}: ${violations.length} violations,`,
      `${requests} requests ${JSON.stringify(byStatus)}`,
      violations.slice(0, 4),
    );
  }
};
await Promise.all(Array.from({ length: atOnce }, worker));
console.log(`${count} seeds, ${failed} with violations`);
process.exitCode = failed > 0 ? 1 : 0;
