import type { Change } from "./change.ts";
import type { HeadNotice } from "./head_notice.ts";
import type { RulesReport } from "./rules_report.ts";
import type { SectionVersion } from "./section_version.ts";
import type { Snapshot } from "./snapshot.ts";

/**
 * Control calls about rules to other daemons; null or false if the call failed.
 */
export type RulesClient = {
  pull(
    address: string,
    after: number,
  ): Promise<
    { kind: "changes"; changes: Change[] } | { kind: "too-old" } | null
  >;
  snapshot(address: string, known: SectionVersion[]): Promise<Snapshot | null>;
  push(address: string, notice: HeadNotice): Promise<boolean>;
  report(address: string, department?: string): Promise<RulesReport | null>;
};
