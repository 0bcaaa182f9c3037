import type { Relay } from "./relay.ts";

/** Returns an id that no other process and no other call uses. */
export function nextId(relay: Relay): string {
  relay.lastId += 1;
  return `${relay.ledger.instance}-${relay.lastId.toString(36)}`;
}
