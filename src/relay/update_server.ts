import { Pool } from "undici";
import { createAdmission } from "../admission/create_admission.ts";
import { setSlots } from "../admission/set_slots.ts";
import type { Announcement } from "../membership/announcement.ts";
import type { Relay } from "./relay.ts";

const CONNECT_TIMEOUT_MS = 1_000;
const KEEP_ALIVE_MS = 30_000;

/** Takes over what the own backend server announced; null: it is gone. */
export function updateServer(
  relay: Relay,
  announcement: Announcement | null,
): void {
  const before = relay.server;
  relay.server = announcement;
  if (announcement === null) {
    relay.serverPool?.close();
    relay.serverPool = null;
    return;
  }
  const same = relay.serverPool !== null &&
    before?.address === announcement.address &&
    before.connections === announcement.connections;
  if (!same) {
    relay.serverPool?.close();
    relay.serverPool = new Pool(`http://${announcement.address}`, {
      connections: announcement.connections,
      pipelining: 1,
      connect: { timeout: CONNECT_TIMEOUT_MS },
      keepAliveTimeout: KEEP_ALIVE_MS,
      headersTimeout: 0,
      bodyTimeout: 0,
    });
  }
  const { slots } = announcement;
  const { queue: maxQueue } = relay.limits;
  relay.admission ??= createAdmission(slots, { maxQueue });
  if (relay.admission.slots !== slots) setSlots(relay.admission, slots);
}
