import { ChangeState } from "../rules/change_state.ts";
import { parseResponse } from "./parse_response.ts";
import type { RulesHandlers } from "./rules_handlers.ts";

type Send = Parameters<RulesHandlers["submit"]>[0]["send"];

/** Fetches the state of a change from the store. */
export async function fetchChangeState(
  changeId: string,
  send: Send,
): Promise<ChangeState | { kind: "unreachable"; message: string }> {
  const path = `/-/rules/change?id=${encodeURIComponent(changeId)}`;
  const parsed = parseResponse(
    ChangeState,
    await send({ method: "GET", path }),
  );
  if (parsed.kind === "read") return parsed.value;
  const { message } = parsed;
  return parsed.kind === "unreachable"
    ? { kind: "unreachable", message }
    : { kind: "unavailable", message };
}
