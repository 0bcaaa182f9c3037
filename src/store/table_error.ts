import { z } from "zod";

/** Body of an error response of the DynamoDB JSON protocol. */
export const TableError = z.object({
  /** `namespace#Name`, or the name alone. */
  __type: z.string().transform((type) => type.slice(type.indexOf("#") + 1)),
  message: z.string().default(""),
  CancellationReasons: z.array(z.object({ Code: z.string().optional() }))
    .default([]),
});
export type TableError = z.infer<typeof TableError>;
