import { appendFileSync } from "node:fs";
import process from "node:process";
import { outcomeOf } from "./outcome_of.ts";

type Call = (...args: unknown[]) => unknown;

const lists = new Map<unknown, number>();

/**
 * Returns a decision function that writes one JSON line for each call: name,
 * arguments after the state, random numbers drawn, outcome.
 */
export function recordCall(name: string, original: Call): Call {
  const creates = name.startsWith("create");
  return (...args) => {
    const drawn: number[] = [];
    const used = args.map((arg) =>
      typeof arg === "function"
        ? () => {
          const number = arg();
          drawn.push(number);
          return number;
        }
        : arg
    );
    const data = JSON.stringify(creates ? args : args.slice(1).map(plain));
    const result = original(...used);
    const outcome = name === "createLedger"
      ? keyOf(result as { instance: string; key: Buffer })
      : outcomeOf(name, result);
    const line = `["${name}",${data},${JSON.stringify([drawn, outcome])}]`;
    appendFileSync(
      `${process.env.NUTMEGMOOR_TRACE}.${process.pid}`,
      `${line}\n`,
    );
    return result;
  };
}

/** A replayed ledger must accept the recorded tokens. */
function keyOf({ instance, key }: { instance: string; key: Buffer }) {
  return { instance, key: key.toString("base64") };
}

function plain(value: unknown): unknown {
  if (typeof value !== "object" || value === null) return value;
  if ("candidates" in value && "exclude" in value) {
    const { candidates, exclude } = value as {
      candidates: unknown;
      exclude: Set<string>;
    };
    // Choices compare lists by identity, so each is written once.
    const known = lists.get(candidates);
    const number = known ?? lists.size;
    lists.set(candidates, number);
    const list = known === undefined ? candidates : undefined;
    return { ...value, candidates: list, number, exclude: [...exclude] };
  }
  if (!("body" in value)) return value;
  const body = value.body as Buffer;
  return { ...value, body: body.toString("base64") };
}
