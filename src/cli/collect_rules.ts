import { z } from "zod";
import type { Environment } from "./environment.ts";
import { ExitStatus } from "./exit_status.ts";
import { fetchValue } from "./fetch_value.ts";

type CollectedRules = {
  daemons: { address: string; rules: unknown }[];
  /** Daemons that did not answer, with the exit status of the failure. */
  failures: { address: string; message: string; status: number }[];
};

const UncheckedRules = z.record(z.string(), z.unknown());

/** A daemon that could not be queried has `error` instead of `rules`. */
const MemberRules = z.object({
  daemons: z.array(z.object({
    address: z.string(),
    rules: UncheckedRules.optional(),
    error: z.string().optional(),
  })).min(1),
});

/** Fetches from each daemon the sections that bind a department. */
export async function collectRules(
  { addresses, members, department }: {
    addresses: string[];
    members: boolean;
    department: string;
  },
  environment: Pick<Environment, "err">,
): Promise<CollectedRules> {
  const fetchRules = members ? fetchFromMembers : fetchFromDaemon;
  const results = await Promise.all(
    addresses.map((address) => fetchRules(address, department)),
  );
  const daemons = deduplicate(results.flatMap((result) => result.daemons));
  const answered = new Set(daemons.map(({ address }) => address));
  const failures = deduplicate(results.flatMap((result) => result.failures))
    .filter(({ address }) => !answered.has(address));
  for (const { message } of failures) environment.err(`${message}\n`);
  return { daemons, failures };
}

/** Several daemons that report their members report the same ones. */
function deduplicate<Value>(values: Value[]): Value[] {
  const byJson = new Map(values.map((value) => [JSON.stringify(value), value]));
  return [...byJson.values()];
}

async function fetchFromDaemon(
  address: string,
  department: string,
): Promise<CollectedRules> {
  const fetched = await fetchValue(UncheckedRules, {
    daemon: address,
    method: "GET",
    path: `/-/rules?department=${department}`,
  });
  return fetched.ok
    ? { daemons: [{ address, rules: fetched.value }], failures: [] }
    : { daemons: [], failures: [{ address, ...fetched }] };
}

/**
 * Local listeners are bound to loopback, so this process cannot reach other VMs;
 * the daemon queries its members over the control connections.
 */
async function fetchFromMembers(
  address: string,
  department: string,
): Promise<CollectedRules> {
  const fetched = await fetchValue(MemberRules, {
    daemon: address,
    method: "GET",
    path: `/-/rules?scope=members&department=${department}`,
  });
  if (!fetched.ok) {
    return { daemons: [], failures: [{ address, ...fetched }] };
  }
  const collected: CollectedRules = { daemons: [], failures: [] };
  for (const { address, rules, error } of fetched.value.daemons) {
    if (rules !== undefined) collected.daemons.push({ address, rules });
    else collected.failures.push(queryFailure(address, error));
  }
  return collected;
}

function queryFailure(address: string, error = "no reason given") {
  const message = `Daemon ${address} could not be asked: ${error}`;
  return { address, message, status: ExitStatus.unreachable };
}
