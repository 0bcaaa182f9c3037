import type { KeyObject } from "node:crypto";
import type { Result } from "../core/result.ts";
import { parsePrivateKey } from "../rules/parse_private_key.ts";
import { requiredSigners } from "../rules/required_signers.ts";
import type { Terms } from "../rules/terms.ts";

/** Returns the private key if the terms require a signature of the department. */
export function checkSigner(
  terms: Terms,
  { department, privateKey }: { department: string; privateKey: string },
): Result<KeyObject> {
  const departments = requiredSigners(terms);
  if (departments.includes(department)) return parsePrivateKey(privateKey);
  const message = `Department ${department} does not sign these terms, only ${
    departments.join(", ")
  }`;
  const issue = { code: "not-a-signer", path: ["department"], message };
  return { ok: false, issues: [issue] };
}
