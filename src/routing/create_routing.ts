import type { Routing } from "./routing.ts";

/**
 * Creates routing state without observations. Without the address of this
 * daemon, all daemons choose the same connection subsets.
 */
export function createRouting(dataCentre: string, address = ""): Routing {
  return { dataCentre, address, observations: new Map(), pools: new Map() };
}
