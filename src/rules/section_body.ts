import { canonicalJson } from "../core/canonical_json.ts";
import type { Section } from "./section.ts";

/** Returns the text that the digest and the signatures of a section cover. */
export function sectionBody(
  { version, terms }: Pick<Section, "version" | "terms">,
): string {
  return canonicalJson({ version, terms });
}
