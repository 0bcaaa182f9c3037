import { z } from "zod";
import type { Result } from "../core/result.ts";
import { checkTerms } from "./check_terms.ts";
import { parseJson } from "../core/parse_json.ts";
import type { Terms } from "./terms.ts";

/**
 * Parses a printed configuration or agreement. Returns all mistakes at once, or
 * only `invalid-json` if the text is not JSON.
 *
 * ```ts
 * const terms = parseTerms(readFileSync("collective.json", "utf8"));
 * if (!terms.ok) console.error(terms.issues);
 * ```
 */
export function parseTerms(text: string): Result<Terms> {
  const json = parseJson(z.unknown(), text);
  return json.ok ? checkTerms(json.value) : json;
}
