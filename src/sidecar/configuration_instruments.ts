import type { Instrument } from "../metrics/instrument.ts";

const MS_PER_S = 1_000;

/** Metrics of the platform's store and of the active configuration. */
export function configurationInstruments(
  { configuration, storeReachable, lastConfirmedAt, steadyTime }: {
    /** The active version and the steady time in ms at which it took effect. */
    configuration: () => { version: number; since: number } | null;
    storeReachable: () => boolean;
    /**
     * Steady time in ms at which the active version was last confirmed to be
     * the newest, -Infinity before the first time.
     */
    lastConfirmedAt: () => number;
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
        const at = lastConfirmedAt();
        return at === -Infinity ? null : (steadyTime() - at) / MS_PER_S;
      },
    },
  ];
}
