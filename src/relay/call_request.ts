import type { IncomingMessage } from "node:http";
import { findRule } from "../rules/find_rule.ts";
import type { RequestRule } from "../rules/request_rule.ts";
import type { Relay } from "./relay.ts";
import { serviceOf } from "./service_of.ts";

/** What a request from a caller or backend server asks for. */
type CallRequest = {
  service: string;
  method: string;
  path: string;
  rule: RequestRule;
};

/** Reads service and rule of a request; null where the path names no service. */
export function callRequest(
  relay: Relay,
  request: IncomingMessage,
): CallRequest | null {
  const path = request.url ?? "/";
  const method = request.method ?? "GET";
  const service = serviceOf(path);
  if (service === null) return null;
  const below = path.slice(service.length + 1).split("?", 1)[0]!;
  const rule = findRule(relay.serviceRule(service), { method, path: below });
  return { service, method, path, rule };
}
