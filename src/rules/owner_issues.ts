import type { Issue } from "../core/issue.ts";
import type { Rules } from "./rules.ts";
import type { Terms } from "./terms.ts";

/**
 * Reports services that another department has already declared. A service
 * belongs to one department, so that no other department can replace its rules.
 */
export function ownerIssues(
  terms: Terms,
  services: Rules["services"],
): Issue[] {
  if (terms.kind !== "department") return [];
  return terms.services.flatMap(({ name }): Issue[] => {
    const owner = services.get(name)?.department ?? terms.department;
    if (owner === terms.department) return [];
    const message = `Service ${name} already belongs to department ${owner}`;
    const path = [terms.department, "services", name];
    return [{ code: "service-taken", path, message }];
  });
}
