import { requestDefaults } from "./request_defaults.ts";
import type { RequestRule } from "./request_rule.ts";
import type { ServiceBuilder } from "./service_builder.ts";

/** Returns a builder that holds the given requests. */
export function service(requests: readonly RequestRule[]): ServiceBuilder {
  return {
    requests,
    request: (name, options = {}) =>
      service([...requests, requestDefaults(name, options)]),
  };
}
