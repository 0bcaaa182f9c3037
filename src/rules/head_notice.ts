import { z } from "zod";
import { Change } from "./change.ts";
import { Head } from "./head.ts";

/**
 * Message that reports a head to a peer, with the change itself if it is small.
 */
export const HeadNotice = z.strictObject({
  head: Head,
  change: Change.optional(),
});
export type HeadNotice = z.infer<typeof HeadNotice>;
