import type { KeyObject } from "node:crypto";
import { canonicalJson } from "../core/canonical_json.ts";
import type { TableService } from "../store/table_service.ts";
import type { Write } from "../store/write.ts";
import { readPending } from "./read_pending.ts";
import { ROWS } from "./rows.ts";
import type { Section } from "./section.ts";
import { sectionBody } from "./section_body.ts";
import type { StoreFault } from "./store_fault.ts";
import type { Submission } from "./submission.ts";
import type { SubmissionOutcome } from "./submission_outcome.ts";
import { validSignatures } from "./valid_signatures.ts";

type Kept = { kind: "kept"; section: Section } | SubmissionOutcome;
type Options = Pick<Submission, "section" | "changeId" | "pause"> & {
  keys: ReadonlyMap<string, KeyObject>;
};
type Step =
  | Kept
  | { kind: "again"; message: string; sent: boolean };

const MAX_ATTEMPTS = 5;

/**
 * Adds the signatures of a section to those that other departments left under
 * the same change id, by compare-and-set, so that none is lost when two
 * departments sign at once. Returns the section with all of them.
 */
export async function keepPending(
  table: TableService,
  options: Options,
): Promise<Kept> {
  let sent = false;
  let message = "";
  for (let attempt = 0; attempt < MAX_ATTEMPTS; attempt++) {
    if (attempt > 0) await options.pause?.(attempt);
    const step = await keepOnce(table, options);
    if (step.kind !== "again") return step;
    sent ||= step.sent;
    message = step.message;
  }
  return { kind: sent ? "not-known" : "not-accepted", message };
}

async function keepOnce(
  table: TableService,
  { section, changeId, keys }: Options,
): Promise<Step> {
  const found = await readPending(table, changeId);
  if (found.kind !== "found" && found.kind !== "absent") return fault(found);
  const kept = found.kind === "found" ? found.section : null;
  if (kept !== null && sectionBody(kept) !== sectionBody(section)) {
    return taken(changeId);
  }
  const signatures = {
    ...(kept === null ? {} : validSignatures(kept, keys)),
    ...section.signatures,
  };
  const merged = { ...section, signatures };
  const text = canonicalJson(signatures);
  const before = kept === null ? null : canonicalJson(kept.signatures);
  if (text === before) return { kind: "kept", section: merged };
  const written = await table.transact([
    pendingWrite(merged, { changeId, before }),
  ]);
  if (written.kind === "written") return { kind: "kept", section: merged };
  return {
    kind: "again",
    sent: written.kind === "unknown",
    message: written.kind === "conflict"
      ? "Other departments kept signing at the same time"
      : written.message,
  };
}

function fault(found: StoreFault): Step {
  return found.kind === "invalid"
    ? { kind: "rejected", issues: found.issues }
    : { kind: "again", message: found.message, sent: false };
}

function taken(changeId: string): Step {
  const message = `Change id ${changeId} stands for other terms already`;
  const issues = [{ code: "change-id-taken", path: ["changeId"], message }];
  return { kind: "rejected", issues };
}

function pendingWrite(
  section: Section,
  { changeId, before }: { changeId: string; before: string | null },
): Write {
  return {
    item: {
      partition: ROWS.pending,
      sort: changeId,
      attributes: {
        body: sectionBody(section),
        signatures: canonicalJson(section.signatures),
      },
    },
    condition: before === null
      ? { kind: "absent" }
      : { kind: "equals", attribute: "signatures", value: before },
  };
}
