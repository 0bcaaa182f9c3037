import type { Rules } from "./rules.ts";
import type { Terms } from "./terms.ts";

/** Replaces the services of a department in the index of rules by service. */
export function indexServices(services: Rules["services"], terms: Terms) {
  if (terms.kind !== "department") return;
  const { department } = terms;
  for (const [name, entry] of services) {
    if (entry.department === department) services.delete(name);
  }
  for (const rule of terms.services) {
    services.set(rule.name, { department, rule });
  }
}
