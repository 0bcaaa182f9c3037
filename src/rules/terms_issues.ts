import type { Issue } from "../core/issue.ts";
import { agreementIssues } from "./agreement_issues.ts";
import { serviceIssues } from "./service_issues.ts";
import type { TermsOutline } from "./terms_outline.ts";

/** Runs the semantic checks that the schema of the terms cannot express. */
export function termsIssues(terms: TermsOutline): Issue[] {
  return terms.kind === "department"
    ? serviceIssues(terms.services)
    : agreementIssues(terms);
}
