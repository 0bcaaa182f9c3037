import type { Rules } from "./rules.ts";
import type { ServiceRule } from "./service_rule.ts";

/** Returns the rule in effect for a service, or undefined if none declares it. */
export function getServiceRule(
  rules: Rules,
  service: string,
): ServiceRule | undefined {
  return rules.services.get(service)?.rule;
}
