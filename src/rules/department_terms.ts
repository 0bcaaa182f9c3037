import { z } from "zod";
import { Name } from "./name.ts";
import { ServiceRule } from "./service_rule.ts";

const MAX_SERVICES = 500;

/** What one department declares about its own services. */
export const DepartmentTerms = z.strictObject({
  kind: z.literal("department"),
  department: Name,
  services: z.array(ServiceRule).max(MAX_SERVICES),
});
export type DepartmentTerms = z.infer<typeof DepartmentTerms>;
