import { type KeyObject, verify } from "node:crypto";
import type { Issue } from "../core/issue.ts";
import type { EffectiveSection } from "./effective_section.ts";
import { signedText } from "./signed_text.ts";

/** Departments whose signatures are wanted, and the public keys. */
type Authority = {
  departments: readonly string[];
  keys: ReadonlyMap<string, KeyObject>;
};

/** Checks the signatures of the given departments. */
export function signatureIssues(
  { name, version, digest, section }: EffectiveSection,
  { departments, keys }: Authority,
): Issue[] {
  const text = signedText(digest);
  return departments.flatMap((department): Issue[] => {
    const code = fault(section.signatures[department], {
      key: keys.get(department),
      text,
    });
    if (!code) return [];
    const message =
      `Section ${name} version ${version} has no valid signature of ${department}`;
    return [{ code, path: [name, "signatures", department], message }];
  });
}

function fault(
  signature: string | undefined,
  { key, text }: { key: KeyObject | undefined; text: Buffer },
): string | undefined {
  if (!key) return "unknown-department";
  if (signature === undefined) return "signature-missing";
  return verify(null, text, key, Buffer.from(signature, "base64"))
    ? undefined
    : "signature-invalid";
}
