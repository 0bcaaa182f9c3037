import { createAdmission } from "../../src/admission/create_admission.ts";
import type { Random } from "../../src/core/random.ts";
import type { Calendar } from "./calendar.ts";
import type { Server } from "./server.ts";

/** Creates a modelled server with so many slots. */
export function createServer(
  calendar: Calendar,
  { slots, serviceMs, random, unlimited = false }: {
    slots: number;
    serviceMs: Server["serviceMs"];
    random: Random;
    unlimited?: boolean;
  },
): Server {
  return {
    calendar,
    admission: createAdmission(slots),
    serviceMs,
    random,
    pending: new Map(),
    next: 0,
    backlog: unlimited ? { free: slots, head: 0, waiting: [] } : null,
  };
}
