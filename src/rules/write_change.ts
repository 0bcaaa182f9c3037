import type { Change } from "./change.ts";
import { changeWrites } from "./change_writes.ts";
import { sectionBody } from "./section_body.ts";
import type { SectionVersion } from "./section_version.ts";
import { stateText } from "./state_text.ts";
import type { Stores } from "./stores.ts";
import type { SubmissionOutcome } from "./submission_outcome.ts";
import type { SubmissionProgress } from "./submission_progress.ts";
import { writeBody } from "./write_body.ts";

type Step = SubmissionOutcome | { kind: "again" };

/**
 * Writes a change in one transaction. The change must follow the state in
 * `progress`.
 */
export async function writeChange(
  { table, objects }: Stores,
  change: Change,
  progress: SubmissionProgress,
): Promise<Step> {
  const { sequence, version } = change.record;
  const section = await writeBody(objects, sectionBody(change.section));
  const state = await writeBody(objects, nextState(progress, change));
  if (section.kind !== "written") return retry(progress, section);
  if (state.kind !== "written") return retry(progress, state);
  const written = await table.transact(changeWrites(change, {
    section: section.attributes,
    state: state.attributes,
  }));
  if (written.kind === "written") {
    return { kind: "accepted", sequence, version };
  }
  if (written.kind === "conflict") return { kind: "again" };
  if (written.kind === "unknown") {
    progress.responseLost = true;
    progress.unconfirmedHeads.add(change.record.previous);
  }
  return retry(progress, written);
}

function retry(
  progress: SubmissionProgress,
  { message }: { message: string },
): Step {
  progress.message = message;
  return { kind: "again" };
}

function nextState({ rules }: SubmissionProgress, { record }: Change): string {
  const { name, version, sectionDigest: digest } = record;
  const sections = new Map<string, SectionVersion>(rules.sections);
  sections.set(name, { name, version, digest });
  return stateText(sections.values());
}
