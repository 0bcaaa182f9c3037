import { RulesReport } from "../rules/rules_report.ts";
import { fetchChangeState } from "./fetch_change_state.ts";
import { parseResponse } from "./parse_response.ts";
import type { RulesHandlers } from "./rules_handlers.ts";

type Search = {
  /** Name of the section. */
  name: string;
  /** Change id of an earlier try, or null. */
  changeId: string | null;
  ask: Parameters<RulesHandlers["submit"]>[0]["ask"];
};

/**
 * Finds the version to submit a section as: that of an earlier try with the same
 * change id, otherwise the one after the version in effect. An earlier try that
 * was accepted has raised the version in effect, so that the next version would
 * make its change a second time.
 */
export async function resolveVersion(
  { name, changeId, ask }: Search,
): Promise<
  | { kind: "found"; version: number }
  | { kind: "unavailable" | "unreachable"; message: string }
> {
  // The report comes first: a write that takes effect in between is then found
  // by its change id, or collides with it.
  const answer = await ask({ method: "GET", path: "/-/rules" });
  const report = parseResponse(RulesReport, answer);
  if (report.kind !== "read") {
    const { message } = report;
    const unreachable = report.kind === "unreachable";
    return { kind: unreachable ? "unreachable" : "unavailable", message };
  }
  if (changeId !== null) {
    const state = await fetchChangeState(changeId, ask);
    const { kind } = state;
    if (kind === "unavailable" || kind === "unreachable") return state;
    if (kind === "pending") return found(state.section.version);
    if (kind === "accepted") return found(state.submission.version);
  }
  const current = report.value.sections.find((each) => each.name === name);
  return found((current?.version ?? 0) + 1);
}

function found(version: number) {
  return { kind: "found" as const, version };
}
