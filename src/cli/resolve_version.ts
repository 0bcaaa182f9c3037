import { RulesReport } from "../rules/rules_report.ts";
import { fetchChangeState } from "./fetch_change_state.ts";
import { parseResponse } from "./parse_response.ts";
import type { RulesHandlers } from "./rules_handlers.ts";

type VersionQuery = {
  /** Name of the section. */
  name: string;
  /** Change id of an earlier attempt, or null. */
  changeId: string | null;
  send: Parameters<RulesHandlers["submit"]>[0]["send"];
};

/**
 * Returns the version to submit a section as: that of an earlier attempt with the
 * same change id, otherwise the one after the version in effect. An accepted
 * earlier attempt has raised the version in effect, so the next version would
 * apply its change a second time.
 */
export async function resolveVersion(
  { name, changeId, send }: VersionQuery,
): Promise<
  | { kind: "found"; version: number }
  | { kind: "unavailable" | "unreachable"; message: string }
> {
  // The report is fetched before the change state: a write that takes effect in
  // between is then found by its change id, or conflicts with this one.
  const response = await send({ method: "GET", path: "/-/rules" });
  const report = parseResponse(RulesReport, response);
  if (report.kind !== "read") {
    const { message } = report;
    const unreachable = report.kind === "unreachable";
    return { kind: unreachable ? "unreachable" : "unavailable", message };
  }
  if (changeId !== null) {
    const state = await fetchChangeState(changeId, send);
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
