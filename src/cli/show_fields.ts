import { z } from "zod";
import type { DaemonRequest } from "./daemon_request.ts";
import type { Environment } from "./environment.ts";
import { ExitStatus } from "./exit_status.ts";
import { fetchValue } from "./fetch_value.ts";
import { flatten } from "./flatten.ts";
import { formatTable } from "./format_table.ts";

/** Prints all fields of a response whose shape only the daemon defines. */
export async function showFields(
  { json, ...request }: DaemonRequest & { json: boolean },
  { out, err }: Environment,
): Promise<number> {
  const fetched = await fetchValue(
    z.record(z.string(), z.unknown()),
    request,
  );
  if (!fetched.ok) {
    err(`${fetched.message}\n`);
    return fetched.status;
  }
  const { value } = fetched;
  out(json ? `${JSON.stringify(value)}\n` : formatTable(flatten(value)));
  return ExitStatus.ok;
}
