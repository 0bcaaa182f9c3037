import { createAdmission } from "../../src/admission/create_admission.ts";
import { finish } from "../../src/admission/finish.ts";
import { offer } from "../../src/admission/offer.ts";
import { tick } from "../../src/admission/tick.ts";
import type { Ticket } from "../../src/admission/ticket.ts";
import { withdraw } from "../../src/admission/withdraw.ts";
import { admitToken } from "../../src/execution/admit_token.ts";
import { claimToken } from "../../src/execution/claim_token.ts";
import { createLedger } from "../../src/execution/create_ledger.ts";
import { finishExecution } from "../../src/execution/finish_execution.ts";
import { revokeToken } from "../../src/execution/revoke_token.ts";
import { sweepLedger } from "../../src/execution/sweep_ledger.ts";
import { begin } from "../../src/routing/begin.ts";
import type { Candidate } from "../../src/routing/candidate.ts";
import { choose } from "../../src/routing/choose.ts";
import { createRouting } from "../../src/routing/create_routing.ts";
import { end } from "../../src/routing/end.ts";

/** A recorded call: name, arguments after the state, random numbers drawn and outcome. */
type Line = [string, unknown[], [number[], unknown]];

type Query = {
  service: string;
  candidates?: Candidate[];
  number: number;
  exclude: string[];
};

/** Returns a function that executes recorded calls in sequence on a state of its own. */
export function createReplayer(): (line: Line) => unknown {
  let admission = createAdmission(1);
  let routing = createRouting("");
  let ledger = createLedger("");
  const tickets = new Map<string, Ticket>();
  const candidateLists: Candidate[][] = [];
  const handlers: Record<string, (...args: never[]) => unknown> = {
    createAdmission: (slots: number) => admission = createAdmission(slots),
    createRouting: (dataCentre: string, address?: string) =>
      routing = createRouting(dataCentre, address),
    createLedger: (address: string) => ledger = createLedger(address),
    offer(ticket: Ticket, now: number) {
      tickets.set(ticket.id, ticket);
      return offer(admission, ticket, now);
    },
    finish: (ending: Parameters<typeof finish>[1], now: number) =>
      finish(admission, {
        ...ending,
        ticket: tickets.get(ending.ticket.id) ?? ending.ticket,
      }, now),
    tick: (now: number) => tick(admission, now),
    withdraw: (id: string) => withdraw(admission, id),
    begin: (address: string, now: number) => begin(routing, address, now),
    end: (ending: Parameters<typeof end>[1], now: number) =>
      end(routing, ending, now),
    choose(query: Query, now: number, random: () => number) {
      const candidates = candidateLists[query.number] ??= query.candidates!;
      const exclude = new Set(query.exclude);
      return choose(routing, { ...query, candidates, exclude }, now, random);
    },
    admitToken: (text: string, now: number) => admitToken(ledger, text, now),
    claimToken: (nonce: string, now: number) => claimToken(ledger, nonce, now),
    revokeToken: (nonce: string) => revokeToken(ledger, nonce),
    finishExecution: (
      nonce: string,
      result: Parameters<typeof finishExecution>[2],
    ) => finishExecution(ledger, nonce, decodeBody(result)),
    sweepLedger: (now: number) => sweepLedger(ledger, now),
  };
  return ([name, args, [drawn, outcome]]) => {
    const numbers = drawn.values();
    const random = () => {
      const { done, value } = numbers.next();
      if (done) throw new Error("More random numbers were drawn than recorded");
      return value;
    };
    const replayedArgs = name === "choose" ? [args[0], args[1], random] : args;
    const result = handlers[name]!(...replayedArgs as never[]);
    if (name === "createLedger") {
      const { instance, key } = outcome as { instance: string; key: string };
      Object.assign(ledger, { instance, key: Buffer.from(key, "base64") });
    }
    return result;
  };
}

function decodeBody(
  result: Parameters<typeof finishExecution>[2],
): Parameters<typeof finishExecution>[2] {
  if ("kind" in result) return result;
  return { ...result, body: Buffer.from(String(result.body), "base64") };
}
