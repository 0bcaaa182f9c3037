import type { AgreementTerms } from "./agreement_terms.ts";

/**
 * Returns the weights that agreements give to departments at a service; every
 * other department has weight 1. An agreement only shifts weight between its
 * parties: the sum of their weights remains equal to their number, so that
 * departments outside the agreement keep their share. The shifts of several
 * agreements add up.
 */
export function agreementWeights(
  agreements: Iterable<AgreementTerms>,
  service: string,
): Map<string, number> {
  const total = new Map<string, number>();
  for (const { parties, shares } of agreements) {
    const share = shares.find((share) => share.service === service) ??
      shares.find((share) => share.service === "*");
    if (!share) continue;
    const declared = (party: string) => share.weights[party] ?? 1;
    const sum = parties.reduce((sum, party) => sum + declared(party), 0);
    for (const party of parties) {
      const adjustment = declared(party) * parties.length / sum - 1;
      total.set(party, (total.get(party) ?? 1) + adjustment);
    }
  }
  return total;
}
