import { ChangeState } from "../rules/change_state.ts";
import { readAnswer } from "./read_answer.ts";
import type { RulesHandlers } from "./rules_handlers.ts";

type Ask = Parameters<RulesHandlers["submit"]>[0]["ask"];

/** Asks what the store knows of a change id. */
export async function lookUpChange(
  changeId: string,
  ask: Ask,
): Promise<ChangeState | { kind: "unreachable"; message: string }> {
  const path = `/-/rules/change?id=${encodeURIComponent(changeId)}`;
  const read = readAnswer(ChangeState, await ask({ method: "GET", path }));
  if (read.kind === "read") return read.value;
  const { message } = read;
  return read.kind === "unreachable"
    ? { kind: "unreachable", message }
    : { kind: "unavailable", message };
}
