import { z } from "zod";
import { Change } from "./change.ts";
import { Head } from "./head.ts";

/** Tells a peer of a head, with its change when that is small. */
export const HeadNotice = z.strictObject({
  head: Head,
  change: Change.optional(),
});
export type HeadNotice = z.infer<typeof HeadNotice>;
