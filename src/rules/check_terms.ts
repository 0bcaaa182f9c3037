import { parse } from "../core/parse.ts";
import type { Issue } from "../core/issue.ts";
import type { Result } from "../core/result.ts";
import { Terms } from "./terms.ts";
import { termsIssues } from "./terms_issues.ts";
import { TermsOutline } from "./terms_outline.ts";

/**
 * Checks terms from a builder or a file. Reports all mistakes at once: the
 * semantic checks run even if fields are invalid. Issue paths give array
 * elements by name where they have one.
 */
export function checkTerms(input: unknown): Result<Terms> {
  const parsed = parse(Terms, input);
  const outline = parse(TermsOutline, input);
  const semanticIssues = outline.ok ? termsIssues(outline.value) : [];
  if (parsed.ok && semanticIssues.length === 0) return parsed;
  const fieldIssues = parsed.ok ? [] : parsed.issues.map((issue) => ({
    ...issue,
    path: namedPath(input, issue.path),
  }));
  return { ok: false, issues: [...fieldIssues, ...semanticIssues] };
}

function namedPath(root: unknown, path: Issue["path"]): Issue["path"] {
  let value = root;
  return path.map((part) => {
    value = (value as Record<string | number, unknown> | undefined)?.[part];
    return typeof part === "number" ? elementName(value) ?? part : part;
  });
}

function elementName(element: unknown): string | undefined {
  if (typeof element === "string") return element;
  const named = element as { name?: unknown; service?: unknown } | undefined;
  const name = named?.name ?? named?.service;
  return typeof name === "string" ? name : undefined;
}
