import type { DependencyContainer } from "tsyringe";
import { peersOf } from "../membership/peers_of.ts";
import { reportRules } from "../rules/report_rules.ts";
import type { RulesReport } from "../rules/rules_report.ts";
import { ContainerToken } from "./container_token.ts";

/** Daemons asked at once, so that a large fleet opens few connections. */
const CONCURRENCY = 32;

type FleetReport = {
  daemons: { address: string; rules?: RulesReport; error?: string }[];
};

/**
 * Returns the rules in effect here, or at every live daemon; with a department
 * only the sections that bind it.
 */
export async function collectRulesReports(
  parts: DependencyContainer,
  { everywhere, department }: { everywhere: boolean; department?: string },
): Promise<RulesReport | FleetReport> {
  const own = reportRules(parts.resolve(ContainerToken.rules), department);
  if (!everywhere) return own;
  const directory = parts.resolve(ContainerToken.directory);
  const client = parts.resolve(ContainerToken.rulesClient);
  const addresses = [...peersOf(directory).values()].flat();
  const daemons: FleetReport["daemons"] = [
    { address: directory.identity.address, rules: own },
  ];
  const worker = async () => {
    for (;;) {
      const address = addresses.pop();
      if (address === undefined) return;
      const rules = await client.report(address, department);
      daemons.push(
        rules === null ? { address, error: "no answer" } : { address, rules },
      );
    }
  };
  await Promise.all(Array.from({ length: CONCURRENCY }, worker));
  return { daemons };
}
