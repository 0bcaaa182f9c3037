import { admissionIssues } from "./admission_issues.ts";
import { createRules } from "./create_rules.ts";
import { findWinner } from "./find_winner.ts";
import { identifySection } from "./identify_section.ts";
import { keepPending } from "./keep_pending.ts";
import { refreshRules } from "./refresh_rules.ts";
import type { SectionOutcome } from "./section_outcome.ts";
import { signers } from "./signers.ts";
import type { StoreFault } from "./store_fault.ts";
import type { Stores } from "./stores.ts";
import type { Submission } from "./submission.ts";
import type { SubmissionOutcome } from "./submission_outcome.ts";
import { submitChange } from "./submit_change.ts";

type Options = Omit<Submission, "objects">;

/**
 * Submits a section. An agreement that lacks signatures is kept until all of
 * its parties have signed; the last signature submits it.
 */
export async function submitSection(
  stores: Stores,
  options: Options,
): Promise<SectionOutcome> {
  const { table, objects } = stores;
  const departments = signers(options.section.terms);
  if (departments.length === 1 || missing(options.section).length === 0) {
    return submitChange(table, { ...options, objects });
  }
  const refusal = await preview(stores, options);
  if (refusal) return refusal;
  const { keys } = createRules(options);
  const kept = await keepPending(table, { ...options, keys });
  if (kept.kind !== "kept") return kept;
  const { section } = kept;
  return missing(section).length === 0
    ? submitChange(table, { ...options, objects, section })
    : { kind: "pending", missing: missing(section) };
}

function missing({ terms, signatures }: Options["section"]): string[] {
  return signers(terms).filter((each) => signatures[each] === undefined);
}

/** Refuses what could not be accepted with all signatures either. */
async function preview(
  stores: Stores,
  { section, changeId, departmentKeys }: Options,
): Promise<SubmissionOutcome | undefined> {
  const rules = createRules({ departmentKeys });
  const candidate = identifySection(section);
  const fault = await refreshRules(stores, rules);
  if (fault) return stopped(fault);
  const found = await findWinner(stores.table, candidate);
  if (found.kind === "found") {
    const { winner: { changeId: id, digest, sequence } } = found;
    const { version } = candidate;
    return id === changeId && digest === candidate.digest
      ? { kind: "already-accepted", sequence, version }
      : { kind: "conflict", sequence, version, changeId: id };
  }
  if (found.kind !== "absent") return stopped(found);
  const issues = admissionIssues(rules, candidate);
  const unsigned = Object.keys(section.signatures).length === 0;
  const others = issues.filter(({ code }) => code !== "signature-missing");
  if (unsigned) return { kind: "rejected", issues };
  return others.length > 0 ? { kind: "rejected", issues: others } : undefined;
}

function stopped(fault: StoreFault): SubmissionOutcome {
  return fault.kind === "invalid"
    ? { kind: "rejected", issues: fault.issues }
    : { kind: "not-accepted", message: fault.message };
}
