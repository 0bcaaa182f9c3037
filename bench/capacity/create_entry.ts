import type { Entry } from "../../src/membership/entry.ts";
import { PLAN } from "./plan.ts";

/** A wall clock at the start, for realistic sizes of messages. */
const STARTED_MS = 1_764_841_328_000;

/** Returns an entry as a daemon of the installation writes it. */
export function createEntry(index: number): Entry {
  return {
    address: `10.${index >> 16}.${(index >> 8) & 255}.${index & 255}:7001`,
    dataCentre: `data-centre-${index % PLAN.dataCentres}`,
    incarnation: STARTED_MS + index * 997,
    sequence: 3,
    state: "up",
    instance: (index * 0x9e3779b97f4a7).toString(16).padStart(16, "0")
      .slice(0, 16),
    server: {
      service: `service-${index % PLAN.services}`,
      slots: 110,
      warmupMs: 0,
    },
  };
}
