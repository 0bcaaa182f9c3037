import { z } from "zod";

const MAX_SLOTS = 100_000;

/** Number of requests that a backend server runs at a time. */
export const Slots = z.number().int().min(1).max(MAX_SLOTS);
export type Slots = z.infer<typeof Slots>;
