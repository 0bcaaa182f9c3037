import { z } from "zod";

/** Importance classes; the lowest is shed first. */
export const Importance = z.enum(["sheddable", "normal", "critical"]);
export type Importance = z.infer<typeof Importance>;
