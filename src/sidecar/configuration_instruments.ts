import type { Instrument } from "../metrics/instrument.ts";

const MS_PER_S = 1_000;

/** The store of the platform and the configuration from it. */
export function configurationInstruments(
  { configuration, storeReachable, currentAt, steadyTime }: {
    /** The version in force, and since which steady time in ms. */
    configuration: () => { version: number; since: number } | null;
    storeReachable: () => boolean;
    /** Steady time in ms at which nothing newer was known to be in the store. */
    currentAt: () => number;
    steadyTime: () => number;
  },
): Instrument[] {
  return [
    {
      type: "gauge",
      name: "store_reachable",
      help: "1 if the store answered the last call for the configuration.",
      read: () => Number(storeReachable()),
    },
    {
      type: "gauge",
      name: "configuration_version",
      help: "Version of the configuration in force, 0 for none.",
      read: () => configuration()?.version ?? 0,
    },
    {
      type: "gauge",
      name: "configuration_age",
      unit: "seconds",
      help: "Time since the configuration took force in this process.",
      read() {
        const current = configuration();
        return current && (steadyTime() - current.since) / MS_PER_S;
      },
    },
    {
      type: "gauge",
      name: "configuration_confirmed_age",
      unit: "seconds",
      help: "Time since the store or a watcher of it confirmed that there is " +
        "no newer configuration.",
      read() {
        const at = currentAt();
        return at === -Infinity ? null : (steadyTime() - at) / MS_PER_S;
      },
    },
  ];
}
