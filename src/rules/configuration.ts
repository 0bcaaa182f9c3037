import type { Result } from "../core/result.ts";
import { checkTerms } from "./check_terms.ts";
import type { ConfigurationBuilder } from "./configuration_builder.ts";
import { createServiceBuilder } from "./create_service_builder.ts";
import type { DepartmentTerms } from "./department_terms.ts";
import { printTerms } from "./print_terms.ts";
import type { ServiceRule } from "./service_rule.ts";

/**
 * Starts the configuration of a department. Deadlines are in ms. `build` and
 * `print` return all mistakes at once, as issues.
 *
 * ```ts
 * configuration("collective")
 *   .service("bookings", (service) =>
 *     service.request("reserve", { importance: "critical", deadlineMs: 2_000 }))
 *   .print();
 * ```
 */
export function configuration(department: string): ConfigurationBuilder {
  return createBuilder(department, []);
}

function createBuilder(
  department: string,
  services: readonly ServiceRule[],
): ConfigurationBuilder {
  const build = () => buildTerms(department, services);
  return {
    service(name, declare) {
      const { requests } = declare(createServiceBuilder([]));
      const declared = { name, requests: [...requests] };
      return createBuilder(department, [...services, declared]);
    },
    build,
    print: () => printTerms(build()),
  };
}

// Services are sorted because their order has no meaning and must not change
// the digest.
function buildTerms(
  department: string,
  services: readonly ServiceRule[],
): Result<DepartmentTerms> {
  const sorted = [...services].sort((left, right) =>
    left.name < right.name ? -1 : 1
  );
  return checkTerms({
    kind: "department",
    department,
    services: sorted,
  }) as Result<DepartmentTerms>;
}
