import { type KeyObject, verify } from "node:crypto";
import type { Issue } from "../core/issue.ts";
import type { IdentifiedSection } from "./identified_section.ts";
import { signaturePayload } from "./signature_payload.ts";

/** Departments that must have signed, and the public keys. */
type Requirement = {
  departments: readonly string[];
  keys: ReadonlyMap<string, KeyObject>;
};

/** Checks the signatures of the given departments. */
export function signatureIssues(
  { name, version, digest, section }: IdentifiedSection,
  { departments, keys }: Requirement,
): Issue[] {
  const payload = signaturePayload(digest);
  return departments.flatMap((department): Issue[] => {
    const code = faultCode(section.signatures[department], {
      key: keys.get(department),
      payload,
    });
    if (!code) return [];
    const message =
      `Section ${name} version ${version} has no valid signature of ${department}`;
    return [{ code, path: [name, "signatures", department], message }];
  });
}

function faultCode(
  signature: string | undefined,
  { key, payload }: { key: KeyObject | undefined; payload: Buffer },
): string | undefined {
  if (!key) return "unknown-department";
  if (signature === undefined) return "signature-missing";
  return verify(null, payload, key, Buffer.from(signature, "base64"))
    ? undefined
    : "signature-invalid";
}
