import type { Section } from "../rules/section.ts";
import { sectionDigest } from "../rules/section_digest.ts";
import { sectionName } from "../rules/section_name.ts";
import { SectionOutcome } from "../rules/section_outcome.ts";
import { parseResponse } from "./parse_response.ts";
import type { RulesHandlers } from "./rules_handlers.ts";
import type { SubmitResult } from "./submit_result.ts";

type Sending = {
  section: Section;
  changeId: string;
  /** Whether an earlier try with this change id may have been accepted. */
  repeated: boolean;
  ask: Parameters<RulesHandlers["submit"]>[0]["ask"];
};

/** Sends a signed section to the daemon, which writes it to the store. */
export async function sendSection(
  { section, changeId, repeated, ask }: Sending,
): Promise<SubmitResult> {
  const answer = await ask({
    method: "POST",
    path: "/-/rules/submit",
    body: { section, changeId },
  });
  const read = parseResponse(SectionOutcome, answer);
  const place = {
    changeId,
    section: sectionName(section.terms),
    version: section.version,
  };
  if (read.kind === "read") {
    const settled = ANSWER[read.value.kind] as Settle<SectionOutcome["kind"]>;
    const told = settled(read.value, {
      ...place,
      digest: sectionDigest(section),
    });
    return repeated ? withDoubt(told, changeId) : told;
  }
  const { message } = read;
  if (read.kind === "unknown") return { kind: "unknown", changeId, message };
  const told: SubmitResult = read.kind === "unreachable"
    ? { kind: "unreachable", message }
    : { kind: "unavailable", changeId, message };
  return repeated ? withDoubt(told, changeId) : told;
}

type Place = {
  changeId: string;
  section: string;
  version: number;
  digest: string;
};
type Settle<Kind extends SectionOutcome["kind"]> = (
  outcome: Extract<SectionOutcome, { kind: Kind }>,
  place: Place,
) => SubmitResult;

const ANSWER: { [Kind in SectionOutcome["kind"]]: Settle<Kind> } = {
  "accepted": (_outcome, { digest: _, ...place }) => ({
    kind: "accepted",
    ...place,
  }),
  "already-accepted": (_outcome, { digest: _, ...place }) => ({
    kind: "unchanged",
    ...place,
  }),
  "pending": ({ missing }, place) => ({ kind: "pending", ...place, missing }),
  "conflict": ({ version, changeId }, { digest: _, ...place }) => ({
    kind: "conflict",
    ...place,
    version,
    winner: changeId,
  }),
  "rejected": ({ issues }, { changeId }) => ({
    kind: "rejected",
    changeId,
    issues,
  }),
  "not-accepted": ({ message }, { changeId }) => ({
    kind: "unavailable",
    changeId,
    message,
  }),
  "not-known": ({ message }, { changeId }) => ({
    kind: "unknown",
    changeId,
    message,
  }),
};

/** That this try failed for certain says nothing of the tries before it. */
function withDoubt(answer: SubmitResult, changeId: string): SubmitResult {
  if (answer.kind !== "unavailable" && answer.kind !== "unreachable") {
    return answer;
  }
  const message = `an earlier try may have been; this one: ${answer.message}`;
  return { kind: "unknown", changeId, message };
}
