import type { Result } from "../core/result.ts";
import type { AgreementTerms } from "./agreement_terms.ts";

/** Builds the terms of an agreement. Each call returns a new builder. */
export type AgreementBuilder<Party extends string> = {
  /**
   * Declares the weight of every party at one service, or at all services
   * (`*`).
   */
  shares(
    service: string,
    weights: Readonly<Record<Party, number>>,
  ): AgreementBuilder<Party>;
  /** Returns the checked terms, or every mistake in them. */
  build(): Result<AgreementTerms>;
  /** Returns the checked terms as canonical JSON, or every mistake in them. */
  print(): Result<string>;
};
