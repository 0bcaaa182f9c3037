import { addPendingSignatures } from "./add_pending_signatures.ts";
import { candidateIssues } from "./candidate_issues.ts";
import { createRules } from "./create_rules.ts";
import { findWinningChange } from "./find_winning_change.ts";
import { identifySection } from "./identify_section.ts";
import { refreshRules } from "./refresh_rules.ts";
import { requiredSigners } from "./required_signers.ts";
import type { SectionOutcome } from "./section_outcome.ts";
import type { StoreFault } from "./store_fault.ts";
import type { Stores } from "./stores.ts";
import type { Submission } from "./submission.ts";
import type { SubmissionOutcome } from "./submission_outcome.ts";
import { submitChange } from "./submit_change.ts";

type Options = Omit<Submission, "objects">;

/**
 * Submits a section. An agreement that lacks signatures is stored until all of
 * its parties have signed; the submission with the last signature submits the
 * change.
 */
export async function submitSection(
  stores: Stores,
  options: Options,
): Promise<SectionOutcome> {
  const { table, objects } = stores;
  const departments = requiredSigners(options.section.terms);
  if (
    departments.length === 1 || missingSignatures(options.section).length === 0
  ) {
    return submitChange(table, { ...options, objects });
  }
  const earlyOutcome = await findEarlyOutcome(stores, options);
  if (earlyOutcome) return earlyOutcome;
  const { keys } = createRules(options);
  const stored = await addPendingSignatures(table, { ...options, keys });
  if (stored.kind !== "kept") return stored;
  const { section } = stored;
  return missingSignatures(section).length === 0
    ? submitChange(table, { ...options, objects, section })
    : { kind: "pending", missing: missingSignatures(section) };
}

function missingSignatures(
  { terms, signatures }: Options["section"],
): string[] {
  return requiredSigners(terms).filter((each) =>
    signatures[each] === undefined
  );
}

/**
 * Returns the outcome of a section that could not be accepted even with all
 * signatures.
 */
async function findEarlyOutcome(
  stores: Stores,
  { section, changeId, departmentKeys }: Options,
): Promise<SubmissionOutcome | undefined> {
  const rules = createRules({ departmentKeys });
  const candidate = identifySection(section);
  const fault = await refreshRules(stores, rules);
  if (fault) return outcomeOfFault(fault);
  const found = await findWinningChange(stores.table, candidate);
  if (found.kind === "found") {
    const { winner: { changeId: id, digest, sequence } } = found;
    const { version } = candidate;
    return id === changeId && digest === candidate.digest
      ? { kind: "already-accepted", sequence, version }
      : { kind: "conflict", sequence, version, changeId: id };
  }
  if (found.kind !== "absent") return outcomeOfFault(found);
  const issues = candidateIssues(rules, candidate);
  const unsigned = Object.keys(section.signatures).length === 0;
  const otherIssues = issues.filter(({ code }) => code !== "signature-missing");
  if (unsigned) return { kind: "rejected", issues };
  return otherIssues.length > 0
    ? { kind: "rejected", issues: otherIssues }
    : undefined;
}

function outcomeOfFault(fault: StoreFault): SubmissionOutcome {
  return fault.kind === "invalid"
    ? { kind: "rejected", issues: fault.issues }
    : { kind: "not-accepted", message: fault.message };
}
