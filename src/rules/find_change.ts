import type { TableService } from "../store/table_service.ts";
import type { ChangeState } from "./change_state.ts";
import { findSubmission } from "./find_submission.ts";
import { readPending } from "./read_pending.ts";

/** Looks up the state of a change id in the store. */
export async function findChange(
  table: TableService,
  changeId: string,
): Promise<ChangeState> {
  const accepted = await findSubmission(table, changeId);
  if (accepted.kind === "found") {
    return { kind: "accepted", submission: accepted.submission };
  }
  const pending = accepted.kind === "absent"
    ? await readPending(table, changeId)
    : accepted;
  if (pending.kind === "found") {
    return { kind: "pending", section: pending.section };
  }
  if (pending.kind !== "invalid") return pending;
  const message = pending.issues.map((issue) => issue.message).join("; ");
  return { kind: "unavailable", message };
}
