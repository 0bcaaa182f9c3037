import { getJson } from "../fleet/get_json.ts";
import type { Member } from "../fleet/member.ts";
import { Ports } from "../fleet/ports.ts";

/** Sends a request to a daemon's local listener and returns the JSON response. */
export function callDaemon<Value = Record<string, unknown>>(
  daemon: Member,
  path: string,
  method = "GET",
): Promise<Value> {
  const url = `http://${daemon.host}:${Ports.local}/-/${path}`;
  return getJson<Value>(url, undefined, method);
}
