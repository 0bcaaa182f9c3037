import type { Routing } from "./routing.ts";

/** Creates routing state without observations. */
export function createRouting(dataCentre: string): Routing {
  return { dataCentre, observations: new Map() };
}
