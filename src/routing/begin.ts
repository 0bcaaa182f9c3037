import { observe } from "./observe.ts";
import type { Routing } from "./routing.ts";

/** Counts an attempt that starts at a daemon. */
export function begin(routing: Routing, address: string, _now: number): void {
  observe(routing, address).inFlight += 1;
}
