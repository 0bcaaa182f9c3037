import { z } from "zod";

/** Attributes of a row in DynamoDB JSON; only strings and numbers are used. */
export const Attributes = z.record(
  z.string(),
  z.union([
    z.object({ S: z.string() }),
    z.object({ N: z.string().regex(/^-?\d+(\.\d+)?([eE][+-]?\d+)?$/) }),
  ]),
);
export type Attributes = z.infer<typeof Attributes>;
