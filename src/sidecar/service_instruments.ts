import type { Instrument } from "../metrics/instrument.ts";
import type { Admission } from "../origin/admission.ts";
import type { RetryBudget } from "../origin/retry_budget.ts";

/**
 * Metrics of each service: available servers and load as known to this daemon,
 * the slots that its requests use, and its retry budget.
 */
export function serviceInstruments(
  { loads, servers, admission, budget }: {
    /** Mean load of the available servers, by service. */
    loads: () => ReadonlyMap<string, number>;
    /** Number of available servers, by service. */
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
      read: () => toSamples(servers(), identity),
    },
    {
      type: "gauge",
      name: "service_load",
      unit: "ratio",
      help: "Mean load of the servers of a service that take work.",
      read: () => toSamples(loads(), identity),
    },
    {
      type: "gauge",
      name: "service_slots_used",
      help: "Slots that the requests admitted here have used lately.",
      read: () => toSamples(admission.services, ({ used }) => used),
    },
    {
      type: "gauge",
      name: "service_slots_allowed",
      help: "Slots that they may use, without a bound where nothing is known.",
      read: () => toSamples(admission.services, ({ allowed }) => allowed),
    },
    {
      type: "gauge",
      name: "retry_budget",
      help: "Repeats left for requests of a service that make no calls.",
      read: () => toSamples(budget.single, identity),
    },
  ];
}

type Sample = { labels: { service: string }; value: number };

function toSamples<Value>(
  values: ReadonlyMap<string, Value>,
  valueOf: (value: Value) => number,
): Sample[] {
  return [...values].map(([service, value]) => ({
    labels: { service },
    value: valueOf(value),
  }));
}

function identity(value: number): number {
  return value;
}
