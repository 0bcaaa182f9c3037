import type { Issue } from "../core/issue.ts";
import { duplicates } from "./duplicates.ts";
import type { TermsOutline } from "./terms_outline.ts";

type Agreement = Extract<TermsOutline, { kind: "agreement" }>;

/**
 * Reports duplicate parties and shares, and weights that do not match the
 * parties.
 */
export function agreementIssues(terms: Agreement): Issue[] {
  const services = duplicates(terms.shares.map((share) => share.service));
  return [
    ...duplicates(terms.parties).map((party): Issue => ({
      code: "duplicate-party",
      path: ["parties", party],
      message: `Department ${party} is named as a party more than once`,
    })),
    ...services.map((service): Issue => ({
      code: "duplicate-share",
      path: ["shares", service],
      message: `Shares of ${service} are declared more than once`,
    })),
    ...terms.shares.flatMap((share) => shareIssues(share, terms.parties)),
  ];
}

function shareIssues(
  share: Agreement["shares"][number],
  parties: readonly string[],
): Issue[] {
  const path = ["shares", share.service, "weights"];
  const weighted = Object.keys(share.weights);
  return [
    ...weighted.filter((name) => !parties.includes(name)).map((
      name,
    ): Issue => ({
      code: "not-a-party",
      path: [...path, name],
      message: `Department ${name} has a weight but is not a party`,
    })),
    ...parties.filter((name) => !weighted.includes(name)).map((
      name,
    ): Issue => ({
      code: "weight-missing",
      path: [...path, name],
      message: `Party ${name} has no weight at ${share.service}`,
    })),
  ];
}
