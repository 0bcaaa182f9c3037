import { appendFileSync } from "node:fs";
import process from "node:process";
import { outcomeOf } from "./outcome_of.ts";

type Call = (...args: unknown[]) => unknown;

const candidateLists = new Map<unknown, number>();

/**
 * Wraps a decision function so that each call appends a JSON line: name,
 * arguments after the state, random numbers drawn and outcome.
 */
export function recordCall(name: string, original: Call): Call {
  const isConstructor = name.startsWith("create");
  return (...args) => {
    const drawn: number[] = [];
    const wrappedArgs = args.map((arg) =>
      typeof arg === "function"
        ? () => {
          const number = arg();
          drawn.push(number);
          return number;
        }
        : arg
    );
    const data = JSON.stringify(
      isConstructor ? args : args.slice(1).map(serialize),
    );
    const result = original(...wrappedArgs);
    const outcome = name === "createLedger"
      ? serializeKey(result as { instance: string; key: Buffer })
      : outcomeOf(name, result);
    const line = `["${name}",${data},${JSON.stringify([drawn, outcome])}]`;
    appendFileSync(
      `${process.env.NUTMEGMOOR_TRACE}.${process.pid}`,
      `${line}\n`,
    );
    return result;
  };
}

/** Records the ledger's identity, since a replayed ledger must accept the recorded tokens. */
function serializeKey({ instance, key }: { instance: string; key: Buffer }) {
  return { instance, key: key.toString("base64") };
}

function serialize(value: unknown): unknown {
  if (typeof value !== "object" || value === null) return value;
  if ("candidates" in value && "exclude" in value) {
    const { candidates, exclude } = value as {
      candidates: unknown;
      exclude: Set<string>;
    };
    // `choose` compares candidate lists by identity, so each list is written once and
    // then referred to by number.
    const known = candidateLists.get(candidates);
    const number = known ?? candidateLists.size;
    candidateLists.set(candidates, number);
    const list = known === undefined ? candidates : undefined;
    return { ...value, candidates: list, number, exclude: [...exclude] };
  }
  if (!("body" in value)) return value;
  const body = value.body as Buffer;
  return { ...value, body: body.toString("base64") };
}
