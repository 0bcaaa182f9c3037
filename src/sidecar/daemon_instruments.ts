import type { Instrument } from "../metrics/instrument.ts";

const MS_PER_S = 1_000;

/** Metrics of the daemon's own state. */
export function daemonInstruments(
  { ready, stoppingSince, startedAt, steadyTime }: {
    /** Whether clients should use this daemon. */
    ready: () => boolean;
    /** Steady time in ms at which a planned stop began; null without one. */
    stoppingSince: () => number | null;
    startedAt: number;
    steadyTime: () => number;
  },
): Instrument[] {
  return [
    {
      type: "gauge",
      name: "ready",
      help: "1 if clients should be sent to this daemon.",
      read: () => Number(ready()),
    },
    {
      type: "gauge",
      name: "stopping",
      help: "1 if this daemon is in a planned stop.",
      read: () => Number(stoppingSince() !== null),
    },
    {
      type: "gauge",
      name: "stop_elapsed",
      unit: "seconds",
      help: "Time since the planned stop began, 0 without one.",
      read() {
        const since = stoppingSince();
        return since === null ? 0 : (steadyTime() - since) / MS_PER_S;
      },
    },
    {
      type: "gauge",
      name: "uptime",
      unit: "seconds",
      help: "Time since this daemon started.",
      read: () => (steadyTime() - startedAt) / MS_PER_S,
    },
  ];
}
