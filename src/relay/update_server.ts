import { Pool } from "undici";
import { createAdmission } from "../admission/create_admission.ts";
import { setSlots } from "../admission/set_slots.ts";
import type { Announcement } from "../membership/announcement.ts";
import type { Relay } from "./relay.ts";

const CONNECT_TIMEOUT_MS = 1_000;
const KEEP_ALIVE_MS = 30_000;

/** Applies an announcement of the local backend server; null if it is gone. */
export function updateServer(
  relay: Relay,
  announcement: Announcement | null,
): void {
  const previous = relay.server;
  relay.server = announcement;
  if (announcement === null) {
    relay.serverPool?.close();
    relay.serverPool = null;
    return;
  }
  const unchanged = relay.serverPool !== null &&
    previous?.address === announcement.address &&
    previous.connections === announcement.connections;
  if (!unchanged) {
    relay.serverPool?.close();
    relay.serverPool = new Pool(`http://${announcement.address}`, {
      connections: announcement.connections,
      pipelining: 1,
      connect: { timeout: CONNECT_TIMEOUT_MS },
      keepAliveTimeout: KEEP_ALIVE_MS,
      // The relay enforces the deadlines itself.
      headersTimeout: 0,
      bodyTimeout: 0,
    });
  }
  const { slots } = announcement;
  const { queue: maxQueue } = relay.limits;
  relay.admission ??= createAdmission(slots, { maxQueue });
  if (relay.admission.slots !== slots) setSlots(relay.admission, slots);
}
