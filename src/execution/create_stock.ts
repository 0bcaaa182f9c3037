import type { Stock } from "./stock.ts";

/** Creates an empty stock of execution tokens. */
export function createStock(): Stock {
  return { peers: new Map() };
}
