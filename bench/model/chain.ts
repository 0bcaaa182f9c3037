import type { Shedding } from "../../src/shedding/shedding.ts";
import type { Policy } from "./policy.ts";
import type { Server } from "./server.ts";

/** A call chain: one server a hop, and what each caller learned of the next. */
export type Chain = {
  policy: Policy;
  servers: Server[];
  shedding: Shedding;
  /** Calls that each hop makes to the next one. */
  fanOut: number;
};
