import type { IncomingMessage } from "node:http";
import { findRule } from "../rules/find_rule.ts";
import type { Relay } from "./relay.ts";
import { serviceOf } from "./service_of.ts";
import type { ResolvedRequest } from "./resolved_request.ts";

/**
 * Determines the service and rule of a request; null where the path names no
 * service.
 */
export function resolveRequest(
  relay: Relay,
  request: IncomingMessage,
): ResolvedRequest | null {
  const path = request.url ?? "/";
  const method = request.method ?? "GET";
  const service = serviceOf(path);
  if (service === null) return null;
  const pathInService = path.slice(service.length + 1).split("?", 1)[0]!;
  const rule = findRule(relay.serviceRule(service), {
    method,
    path: pathInService,
  });
  return { service, method, path, rule };
}
