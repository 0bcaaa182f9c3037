import type { Result } from "../core/result.ts";
import type { AgreementBuilder } from "./agreement_builder.ts";
import type { AgreementTerms } from "./agreement_terms.ts";
import { checkTerms } from "./check_terms.ts";
import { printTerms } from "./print_terms.ts";
import type { Share } from "./share.ts";

/**
 * Starts an agreement between departments. It takes effect once all parties
 * have signed it. The parties are part of its identity: the same name with
 * other parties is a different agreement. Weights are integers without a unit.
 * `build` and `print` return mistakes as issues.
 *
 * ```ts
 * agreement("fair-shares", ["collective", "harvest-loaf"])
 *   .shares("*", { "collective": 1, "harvest-loaf": 1 })
 *   .print();
 * ```
 */
export function agreement<Party extends string>(
  name: string,
  parties: readonly Party[],
): AgreementBuilder<Party> {
  return createBuilder(name, parties, []);
}

function createBuilder<Party extends string>(
  name: string,
  parties: readonly Party[],
  shares: readonly Share[],
): AgreementBuilder<Party> {
  const build = () =>
    checkTerms({
      kind: "agreement",
      agreement: name,
      parties: [...parties].sort(),
      shares: [...shares].sort((left, right) =>
        left.service < right.service ? -1 : 1
      ),
    }) as Result<AgreementTerms>;
  return {
    shares: (service, weights) =>
      createBuilder(name, parties, [...shares, { service, weights }]),
    build,
    print: () => printTerms(build()),
  };
}
