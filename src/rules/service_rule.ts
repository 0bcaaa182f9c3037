import { z } from "zod";
import { RequestRule } from "./request_rule.ts";

const MAX_REQUESTS = 200;

/** What a department declares about one of its services. */
export const ServiceRule = z.strictObject({
  name: z.string().regex(/^[a-z][a-z0-9-]{0,63}$/),
  requests: z.array(RequestRule).max(MAX_REQUESTS),
});
export type ServiceRule = z.infer<typeof ServiceRule>;
