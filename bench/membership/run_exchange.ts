import { answerExchange } from "../../src/membership/answer_exchange.ts";
import type { Directory } from "../../src/membership/directory.ts";
import type { ExchangeRequest } from "../../src/membership/exchange_request.ts";
import { continueExchange } from "../../src/membership/continue_exchange.ts";
import { recordContact } from "../../src/membership/record_contact.ts";
import { startExchange } from "../../src/membership/start_exchange.ts";

const RULES = { sequence: 123_456, digest: "0123456789abcdef0123456789abcdef" };

/** What exchanges cost; `bytes` is that of the JSON texts of both sides. */
type Cost = { exchanges: number; messages: number; bytes: number };

/** Runs one exchange between two daemons of this process and adds its cost. */
export function runExchange(
  [one, two]: [Directory, Directory],
  { cost, lost }: { cost: Cost; lost(): boolean },
  now: number,
): void {
  cost.exchanges++;
  const partner = two.identity.address;
  let request: ExchangeRequest | null = startExchange(one, {
    rules: RULES,
    partner,
  });
  while (request !== null) {
    cost.messages++;
    cost.bytes += JSON.stringify(request).length;
    if (lost()) return;
    const response = answerExchange(two, request, { rules: RULES }, now);
    cost.messages++;
    cost.bytes += JSON.stringify(response).length;
    if (lost()) return;
    const { dataCentre } = two.identity;
    recordContact(one, { address: partner, dataCentre, reached: true }, now);
    request = continueExchange(one, { request, response }, now);
  }
}
