import type { KeyObject } from "node:crypto";
import { canonicalJson } from "../core/canonical_json.ts";
import type { TableService } from "../store/table_service.ts";
import type { Write } from "../store/write.ts";
import { readPending } from "./read_pending.ts";
import { ROW_KEYS } from "./row_keys.ts";
import type { Section } from "./section.ts";
import { sectionBody } from "./section_body.ts";
import type { StoreFault } from "./store_fault.ts";
import type { Submission } from "./submission.ts";
import type { SubmissionOutcome } from "./submission_outcome.ts";
import { validSignatures } from "./valid_signatures.ts";

type StoredSection = { kind: "kept"; section: Section } | SubmissionOutcome;
type Options = Pick<Submission, "section" | "changeId" | "waitBeforeRetry"> & {
  keys: ReadonlyMap<string, KeyObject>;
};
type Step =
  | StoredSection
  | { kind: "again"; message: string; unconfirmed: boolean };

const MAX_ATTEMPTS = 5;

/**
 * Adds the signatures of a section to those that other departments have stored
 * under the same change id, by compare-and-set, so that none is lost when two
 * departments sign at once. Returns the section with all signatures.
 */
export async function addPendingSignatures(
  table: TableService,
  options: Options,
): Promise<StoredSection> {
  let unconfirmed = false;
  let message = "";
  for (let attempt = 0; attempt < MAX_ATTEMPTS; attempt++) {
    if (attempt > 0) await options.waitBeforeRetry?.(attempt);
    const step = await mergeOnce(table, options);
    if (step.kind !== "again") return step;
    unconfirmed ||= step.unconfirmed;
    message = step.message;
  }
  return { kind: unconfirmed ? "not-known" : "not-accepted", message };
}

async function mergeOnce(
  table: TableService,
  { section, changeId, keys }: Options,
): Promise<Step> {
  const found = await readPending(table, changeId);
  if (found.kind !== "found" && found.kind !== "absent") return toStep(found);
  const stored = found.kind === "found" ? found.section : null;
  if (stored !== null && sectionBody(stored) !== sectionBody(section)) {
    return changeIdTaken(changeId);
  }
  const signatures = {
    ...(stored === null ? {} : validSignatures(stored, keys)),
    ...section.signatures,
  };
  const merged = { ...section, signatures };
  const current = canonicalJson(signatures);
  const previous = stored === null ? null : canonicalJson(stored.signatures);
  if (current === previous) return { kind: "kept", section: merged };
  const written = await table.transact([
    pendingWrite(merged, { changeId, previous }),
  ]);
  if (written.kind === "written") return { kind: "kept", section: merged };
  return {
    kind: "again",
    unconfirmed: written.kind === "unknown",
    message: written.kind === "conflict"
      ? "Other departments kept signing at the same time"
      : written.message,
  };
}

function toStep(found: StoreFault): Step {
  return found.kind === "invalid"
    ? { kind: "rejected", issues: found.issues }
    : { kind: "again", message: found.message, unconfirmed: false };
}

function changeIdTaken(changeId: string): Step {
  const message = `Change id ${changeId} stands for other terms already`;
  const issues = [{ code: "change-id-taken", path: ["changeId"], message }];
  return { kind: "rejected", issues };
}

function pendingWrite(
  section: Section,
  { changeId, previous }: { changeId: string; previous: string | null },
): Write {
  return {
    item: {
      partition: ROW_KEYS.pending,
      sort: changeId,
      attributes: {
        body: sectionBody(section),
        signatures: canonicalJson(section.signatures),
      },
    },
    condition: previous === null
      ? { kind: "absent" }
      : { kind: "equals", attribute: "signatures", value: previous },
  };
}
