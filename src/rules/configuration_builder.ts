import type { Result } from "../core/result.ts";
import type { DepartmentTerms } from "./department_terms.ts";
import type { ServiceBuilder } from "./service_builder.ts";

/**
 * Builds the configuration of a department. Each call returns a new builder.
 */
export type ConfigurationBuilder = {
  /** Declares a service and, through the callback, its requests. */
  service(
    name: string,
    declare: (service: ServiceBuilder) => ServiceBuilder,
  ): ConfigurationBuilder;
  /** Returns the checked terms, or every mistake in them. */
  build(): Result<DepartmentTerms>;
  /** Returns the checked terms as canonical JSON, or every mistake in them. */
  print(): Result<string>;
};
