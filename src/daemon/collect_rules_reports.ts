import type { DependencyContainer } from "tsyringe";
import { peersOf } from "../membership/peers_of.ts";
import { reportRules } from "../rules/report_rules.ts";
import type { RulesReport } from "../rules/rules_report.ts";
import { ContainerToken } from "./container_token.ts";

/**
 * Daemons queried at the same time; limits the connections in a large fleet.
 */
const CONCURRENCY = 32;

type FleetReport = {
  daemons: { address: string; rules?: RulesReport; error?: string }[];
};

/**
 * Returns the rules in effect at this daemon, or at every live one. With a
 * department, only the sections that apply to it are returned.
 */
export async function collectRulesReports(
  container: DependencyContainer,
  { everywhere, department }: { everywhere: boolean; department?: string },
): Promise<RulesReport | FleetReport> {
  const own = reportRules(container.resolve(ContainerToken.rules), department);
  if (!everywhere) return own;
  const directory = container.resolve(ContainerToken.directory);
  const client = container.resolve(ContainerToken.rulesClient);
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
