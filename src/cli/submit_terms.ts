import { randomUUID } from "node:crypto";
import { parseTerms } from "../rules/parse_terms.ts";
import { sectionName } from "../rules/section_name.ts";
import { signSection } from "../rules/sign_section.ts";
import { checkSigner } from "./check_signer.ts";
import { resolveVersion } from "./resolve_version.ts";
import type { RulesHandlers } from "./rules_handlers.ts";
import { sendSection } from "./send_section.ts";
import type { SubmitResult } from "./submit_result.ts";

/** Signs terms printed by the builder and submits them through a daemon. */
export async function submitTerms(
  request: Parameters<RulesHandlers["submit"]>[0],
): Promise<SubmitResult> {
  const { department, send } = request;
  const terms = parseTerms(request.text);
  if (!terms.ok) return { kind: "invalid", issues: terms.issues };
  const key = checkSigner(terms.value, request);
  if (!key.ok) return { kind: "invalid", issues: key.issues };
  const name = sectionName(terms.value);
  const query = { name, changeId: request.changeId, send };
  const found = request.version === null
    ? await resolveVersion(query)
    : { kind: "found" as const, version: request.version };
  const repeated = request.changeId !== null;
  const changeId = request.changeId ?? randomUUID();
  if (found.kind !== "found") {
    const { kind, message } = found;
    if (repeated) return { kind: "unknown", changeId, message };
    return kind === "unreachable"
      ? { kind, message }
      : { kind, changeId, message };
  }
  const section = signSection(
    { version: found.version, terms: terms.value },
    { department, privateKey: key.value },
  );
  return sendSection({ section, changeId, repeated, send });
}
