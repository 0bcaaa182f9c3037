import type { Issue } from "../core/issue.ts";
import type { AgreementTerms } from "./agreement_terms.ts";
import { agreementWeights } from "./agreement_weights.ts";

// A department without any weight would have all of its requests shed.
const MIN_WEIGHT = 0.001;

/**
 * Reports departments that several agreements together leave without weight.
 */
export function weightIssues(agreements: readonly AgreementTerms[]): Issue[] {
  const services = new Set(
    agreements.flatMap(({ shares }) => shares.map((share) => share.service)),
  );
  return [...services].flatMap((service) =>
    [...agreementWeights(agreements, service)]
      .filter(([, weight]) => weight < MIN_WEIGHT)
      .map(([department]): Issue => ({
        code: "weight-exhausted",
        path: ["shares", service, "weights", department],
        message:
          `Agreements leave department ${department} no weight at ${service}`,
      }))
  );
}
