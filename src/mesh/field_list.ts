import { z } from "zod";

/** Names and values of header fields in turn. */
export const FieldList = z.array(z.string()).refine(
  ({ length }) => length % 2 === 0,
  "Expected a value for each name",
);
