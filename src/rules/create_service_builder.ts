import { createRequestRule } from "./create_request_rule.ts";
import type { RequestRule } from "./request_rule.ts";
import type { ServiceBuilder } from "./service_builder.ts";

/** Returns a builder that holds the given requests. */
export function createServiceBuilder(
  requests: readonly RequestRule[],
): ServiceBuilder {
  return {
    requests,
    request: (name, options = {}) =>
      createServiceBuilder([...requests, createRequestRule(name, options)]),
  };
}
