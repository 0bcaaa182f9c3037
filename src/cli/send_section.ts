import type { Section } from "../rules/section.ts";
import { sectionDigest } from "../rules/section_digest.ts";
import { sectionName } from "../rules/section_name.ts";
import { SectionOutcome } from "../rules/section_outcome.ts";
import { parseResponse } from "./parse_response.ts";
import type { RulesHandlers } from "./rules_handlers.ts";
import type { SubmitResult } from "./submit_result.ts";

type SectionRequest = {
  section: Section;
  changeId: string;
  /** Whether an earlier attempt with this change id may have been accepted. */
  repeated: boolean;
  send: Parameters<RulesHandlers["submit"]>[0]["send"];
};

/** Sends a signed section to the daemon, which writes it to the store. */
export async function sendSection(
  { section, changeId, repeated, send }: SectionRequest,
): Promise<SubmitResult> {
  const response = await send({
    method: "POST",
    path: "/-/rules/submit",
    body: { section, changeId },
  });
  const parsed = parseResponse(SectionOutcome, response);
  const target = {
    changeId,
    section: sectionName(section.terms),
    version: section.version,
  };
  if (parsed.kind === "read") {
    const convert = CONVERTERS[parsed.value.kind] as Converter<
      SectionOutcome["kind"]
    >;
    const result = convert(parsed.value, {
      ...target,
      digest: sectionDigest(section),
    });
    return repeated ? withEarlierAttempt(result, changeId) : result;
  }
  const { message } = parsed;
  if (parsed.kind === "unknown") return { kind: "unknown", changeId, message };
  const result: SubmitResult = parsed.kind === "unreachable"
    ? { kind: "unreachable", message }
    : { kind: "unavailable", changeId, message };
  return repeated ? withEarlierAttempt(result, changeId) : result;
}

type Target = {
  changeId: string;
  section: string;
  version: number;
  digest: string;
};
type Converter<Kind extends SectionOutcome["kind"]> = (
  outcome: Extract<SectionOutcome, { kind: Kind }>,
  target: Target,
) => SubmitResult;

const CONVERTERS: { [Kind in SectionOutcome["kind"]]: Converter<Kind> } = {
  "accepted": (_outcome, { digest: _, ...target }) => ({
    kind: "accepted",
    ...target,
  }),
  "already-accepted": (_outcome, { digest: _, ...target }) => ({
    kind: "unchanged",
    ...target,
  }),
  "pending": ({ missing }, target) => ({ kind: "pending", ...target, missing }),
  "conflict": ({ version, changeId }, { digest: _, ...target }) => ({
    kind: "conflict",
    ...target,
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

/** Reports a failed repeat as unknown, since an earlier attempt may have succeeded. */
function withEarlierAttempt(
  result: SubmitResult,
  changeId: string,
): SubmitResult {
  if (result.kind !== "unavailable" && result.kind !== "unreachable") {
    return result;
  }
  const message =
    `an earlier attempt may have been; this attempt: ${result.message}`;
  return { kind: "unknown", changeId, message };
}
