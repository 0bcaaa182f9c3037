import { Importance } from "../context/importance.ts";

/** Number of importance classes. */
export const RANKS = Importance.options.length;
