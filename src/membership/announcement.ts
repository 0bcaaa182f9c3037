import { z } from "zod";
import { Slots } from "../core/slots.ts";

const MAX_CONNECTIONS = 100_000;
const MAX_WARMUP_MS = 3_600_000;

/** The heartbeat that a backend server sends to its own daemon periodically. */
export const Announcement = z.strictObject({
  service: z.string().regex(/^[a-z][a-z0-9-]{0,63}$/),
  /** Where the backend server listens, `host:port`. */
  address: z.string().regex(/^[0-9a-f.:[\]]+:\d{1,5}$/),
  /** Requests that it can run concurrently. */
  slots: Slots,
  /** Connections that it accepts. */
  connections: z.number().int().min(1).max(MAX_CONNECTIONS),
  state: z.enum(["up", "leaving"]),
  /** How long it needs to warm up after its start, in ms. */
  warmupMs: z.number().int().min(0).max(MAX_WARMUP_MS).default(0),
  /** Whether its `nutmegmoor-outcome: not-run` header can be trusted. */
  sheds: z.boolean().default(false),
  /** Whether it echoes `nutmegmoor-attempt` in every response. */
  echoes: z.boolean().default(false),
});
export type Announcement = z.infer<typeof Announcement>;
