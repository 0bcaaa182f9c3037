import { z } from "zod";
import { AgreementTerms } from "./agreement_terms.ts";
import { DepartmentTerms } from "./department_terms.ts";

/** The body of a section: one department's declarations, or an agreement. */
export const Terms = z.discriminatedUnion("kind", [
  DepartmentTerms,
  AgreementTerms,
]);
export type Terms = z.infer<typeof Terms>;
