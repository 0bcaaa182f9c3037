import type { Section } from "../rules/section.ts";
import { sectionDigest } from "../rules/section_digest.ts";
import { signSection } from "../rules/sign_section.ts";
import { checkSigner } from "./check_signer.ts";
import { describeSection } from "./describe_section.ts";
import { fetchChangeState } from "./fetch_change_state.ts";
import type { RulesHandlers } from "./rules_handlers.ts";
import { sendSection } from "./send_section.ts";
import type { SubmitResult } from "./submit_result.ts";

/** Shows a pending section, signs it and sends it back to the daemon. */
export async function approveChange(
  request: Parameters<RulesHandlers["approve"]>[0],
): Promise<SubmitResult> {
  const { changeId, department, send } = request;
  const state = await fetchChangeState(changeId, send);
  if (state.kind === "unreachable") return state;
  if (state.kind === "unavailable") return { ...state, changeId };
  if (state.kind === "absent") {
    const message = `No change ${changeId} is pending`;
    return invalid("change-not-found", message);
  }
  if (state.kind === "accepted") {
    const { name: section, version } = state.submission;
    return { kind: "unchanged", changeId, section, version };
  }
  const section: Section = state.section;
  request.show(describeSection(section));
  const digest = sectionDigest(section);
  if (request.digest !== null && request.digest !== digest) {
    const message = `Section has digest ${digest}, expected ${request.digest}`;
    return invalid("digest-mismatch", message);
  }
  const key = checkSigner(section.terms, request);
  if (!key.ok) return { kind: "invalid", issues: key.issues };
  const signed = signSection(section, { department, privateKey: key.value });
  return sendSection({ section: signed, changeId, repeated: false, send });
}

function invalid(code: string, message: string): SubmitResult {
  return { kind: "invalid", issues: [{ code, path: [], message }] };
}
