import type { Instrument } from "../metrics/instrument.ts";
import type { Admission } from "../origin/admission.ts";
import type { RetryBudget } from "../origin/retry_budget.ts";

/** Services as this origin sees them, and what it may use of them. */
export function serviceInstruments(
  { loads, servers, admission, budget }: {
    /** Mean load of the servers of each service that take work. */
    loads: () => ReadonlyMap<string, number>;
    /** How many servers of each service take work. */
    servers: () => ReadonlyMap<string, number>;
    admission: Admission;
    budget: RetryBudget;
  },
): Instrument[] {
  return [
    {
      type: "gauge",
      name: "service_servers",
      help: "Servers of a service that take work.",
      read: () => samplesOf(servers(), itself),
    },
    {
      type: "gauge",
      name: "service_load",
      unit: "ratio",
      help: "Mean load of the servers of a service that take work.",
      read: () => samplesOf(loads(), itself),
    },
    {
      type: "gauge",
      name: "service_slots_used",
      help: "Slots that the requests admitted here have used lately.",
      read: () => samplesOf(admission.services, ({ used }) => used),
    },
    {
      type: "gauge",
      name: "service_slots_allowed",
      help: "Slots that they may use, without a bound where nothing is known.",
      read: () => samplesOf(admission.services, ({ allowed }) => allowed),
    },
    {
      type: "gauge",
      name: "retry_budget",
      help: "Repeats left for requests of a service that make no calls.",
      read: () => samplesOf(budget.single, itself),
    },
  ];
}

type Sample = { labels: { service: string }; value: number };

function samplesOf<Value>(
  values: ReadonlyMap<string, Value>,
  valueOf: (value: Value) => number,
): Sample[] {
  return [...values].map(([service, value]) => ({
    labels: { service },
    value: valueOf(value),
  }));
}

function itself(value: number): number {
  return value;
}
