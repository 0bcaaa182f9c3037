import { Pool } from "undici";
import type { Fleet } from "../../fleet/fleet.ts";
import { Ports } from "../../fleet/ports.ts";
import { membersOf } from "./members_of.ts";

/** Opens a connection pool to each ingress listener of the given service or of all services. */
export function openIngress(fleet: Fleet, service?: string): Pool[] {
  return membersOf(fleet, "daemon", service).map(({ host }) =>
    new Pool(`http://${host}:${Ports.ingress}`)
  );
}
