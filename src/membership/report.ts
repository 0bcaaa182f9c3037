import type { Entry } from "./entry.ts";
import type { Verdict } from "./verdict.ts";

/** An entry with the verdict of observers on this very version of it. */
export type Report = { entry: Entry; verdict: Verdict };
