import { ChangeState } from "../rules/change_state.ts";
import { parseResponse } from "./parse_response.ts";
import type { RulesHandlers } from "./rules_handlers.ts";

type Ask = Parameters<RulesHandlers["submit"]>[0]["ask"];

/** Asks what the store knows of a change id. */
export async function fetchChangeState(
  changeId: string,
  ask: Ask,
): Promise<ChangeState | { kind: "unreachable"; message: string }> {
  const path = `/-/rules/change?id=${encodeURIComponent(changeId)}`;
  const read = parseResponse(ChangeState, await ask({ method: "GET", path }));
  if (read.kind === "read") return read.value;
  const { message } = read;
  return read.kind === "unreachable"
    ? { kind: "unreachable", message }
    : { kind: "unavailable", message };
}
