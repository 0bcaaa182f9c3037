import { z } from "zod";
import { Importance } from "../context/importance.ts";

const MAX_RETRIES = 20;
const MAX_DEADLINE_MS = 600_000;

/** The rule for one kind of request to a service. */
export const RequestRule = z.strictObject({
  /** Name of the request within its service, such as `reserve`. */
  name: z.string().regex(/^[a-z][a-z0-9-]{0,63}$/),
  method: z.enum(["GET", "HEAD", "POST", "PUT", "PATCH", "DELETE"]),
  /** Path relative to the service; a trailing `*` matches any suffix. */
  path: z.string().regex(/^\/[\w./~-]*\*?$/),
  importance: Importance,
  /** Whether running the request more than once does no harm. */
  idempotent: z.boolean(),
  /** Retries allowed in the whole call chain of one such request. */
  retries: z.number().int().min(0).max(MAX_RETRIES),
  /** Deadline if the caller gives none, in ms. */
  deadlineMs: z.number().int().min(1).max(MAX_DEADLINE_MS),
});
export type RequestRule = z.infer<typeof RequestRule>;
