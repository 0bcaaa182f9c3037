import { z } from "zod";
import { FieldList } from "./field_list.ts";

/**
 * A call without body, caller and deadline: id, method, target, fields, route,
 * server id, nested, rank, repeatable, and the repeated share in hundredths,
 * which earlier versions don't send. A tuple, since property names would make
 * up most of its encoded size.
 */
export const CallHead = z.tuple([
  z.string(),
  z.string(),
  z.string(),
  FieldList,
  z.string(),
  z.string(),
  z.boolean(),
  z.number(),
  z.boolean(),
  z.number().min(0).optional(),
], z.unknown());
export type CallHead = z.infer<typeof CallHead>;
