import { canonicalJson } from "../core/canonical_json.ts";
import type { Result } from "../core/result.ts";
import type { Terms } from "./terms.ts";

/** Returns checked terms as canonical JSON, or their issues unchanged. */
export function printTerms(terms: Result<Terms>): Result<string> {
  return terms.ok ? { ok: true, value: canonicalJson(terms.value) } : terms;
}
