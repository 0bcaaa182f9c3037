import { Pool } from "undici";
import type { Fleet } from "../../fleet/fleet.ts";
import { Ports } from "../../fleet/ports.ts";
import { membersOf } from "./members_of.ts";

/** Opens connections to the ingress listeners, of one service or of all. */
export function openIngress(fleet: Fleet, service?: string): Pool[] {
  return membersOf(fleet, "daemon", service).map(({ host }) =>
    new Pool(`http://${host}:${Ports.ingress}`)
  );
}
