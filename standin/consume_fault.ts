import type { Control } from "./control.ts";
import type { Faults } from "./faults.ts";

type Fault = {
  mode: Control["mode"] | "throttled";
  delayMs: number;
};

const APPLIES: { [Mode in Control["mode"]]: (write: boolean) => boolean } = {
  "up": () => false,
  "down": () => true,
  "slow": () => true,
  "lose-response": (write) => write,
  "stale": (write) => !write,
};

const WINDOW_MS = 1_000;

/** Returns the fault to inject into a request and updates the counters; `now` is in ms. */
export function consumeFault(
  faults: Faults,
  { write }: { write: boolean },
  now: number,
): Fault {
  const { mode, delayMs } = faults.control;
  if (write && throttles(faults, now)) return { mode: "throttled", delayMs: 0 };
  if (faults.remaining < 1 || !APPLIES[mode](write)) {
    return { mode: "up", delayMs: 0 };
  }
  faults.remaining -= 1;
  return { mode, delayMs };
}

function throttles(faults: Faults, now: number): boolean {
  if (now - faults.windowStart >= WINDOW_MS) {
    faults.windowStart = now;
    faults.windowWrites = 0;
  }
  faults.windowWrites += 1;
  return faults.windowWrites > (faults.control.writesPerSecond ?? Infinity);
}
