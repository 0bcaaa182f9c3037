import { type KeyObject, sign } from "node:crypto";
import type { Section } from "./section.ts";
import { sectionDigest } from "./section_digest.ts";
import { signaturePayload } from "./signature_payload.ts";

/** The department that signs, with its private key. */
type Signer = { department: string; privateKey: KeyObject };

/**
 * Returns the section with the signature of one more department. The parties of
 * an agreement sign one after another, in any order. Versions of a section
 * count from 1.
 *
 * ```ts
 * const section = signSection({ version: 1, terms }, {
 *   department: "collective",
 *   privateKey,
 * });
 * ```
 */
export function signSection(
  section: Pick<Section, "version" | "terms"> & Partial<Section>,
  { department, privateKey }: Signer,
): Section {
  const payload = signaturePayload(sectionDigest(section));
  const signature = sign(null, payload, privateKey).toString("base64");
  const signatures = { ...section.signatures, [department]: signature };
  return { version: section.version, terms: section.terms, signatures };
}
