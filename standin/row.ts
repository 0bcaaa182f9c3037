import { z } from "zod";

const Value = z.union([
  z.strictObject({ S: z.string() }),
  z.strictObject({ N: z.string() }),
]);

const Key = z.strictObject({ S: z.string().min(1) });

/** A row as DynamoDB JSON with the two key attributes. */
export const Row = z.object({ partition: Key, sort: Key }).catchall(Value);
export type Row = z.infer<typeof Row>;
