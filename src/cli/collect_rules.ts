import { z } from "zod";
import type { Environment } from "./environment.ts";
import { ExitStatus } from "./exit_status.ts";
import { fetchValue } from "./fetch_value.ts";

type Collected = {
  daemons: { address: string; rules: unknown }[];
  /** Daemons without an answer, with the exit status of the failure. */
  failures: { address: string; message: string; status: number }[];
};

const AnyRules = z.record(z.string(), z.unknown());

/** A daemon that could not be asked has `error` instead of `rules`. */
const RulesOfMembers = z.object({
  daemons: z.array(z.object({
    address: z.string(),
    rules: AnyRules.optional(),
    error: z.string().optional(),
  })).min(1),
});

/** Asks each daemon for the sections that bind a department. */
export async function collectRules(
  { addresses, members, department }: {
    addresses: string[];
    members: boolean;
    department: string;
  },
  environment: Pick<Environment, "err">,
): Promise<Collected> {
  const ask = members ? askAll : askOne;
  const each = await Promise.all(
    addresses.map((address) => ask(address, department)),
  );
  const daemons = withoutRepeats(each.flatMap((one) => one.daemons));
  const answered = new Set(daemons.map(({ address }) => address));
  const failures = withoutRepeats(each.flatMap((one) => one.failures))
    .filter(({ address }) => !answered.has(address));
  for (const { message } of failures) environment.err(`${message}\n`);
  return { daemons, failures };
}

/** Several daemons that are asked for all members name the same ones. */
function withoutRepeats<Value>(values: Value[]): Value[] {
  const byText = new Map(values.map((value) => [JSON.stringify(value), value]));
  return [...byText.values()];
}

async function askOne(
  address: string,
  department: string,
): Promise<Collected> {
  const fetched = await fetchValue(AnyRules, {
    daemon: address,
    method: "GET",
    path: `/-/rules?department=${department}`,
  });
  return fetched.ok
    ? { daemons: [{ address, rules: fetched.value }], failures: [] }
    : { daemons: [], failures: [{ address, ...fetched }] };
}

/**
 * Local listeners are bound to loopback, so that other VMs are out of reach
 * from here; the daemon asks its members over the control connections.
 */
async function askAll(
  address: string,
  department: string,
): Promise<Collected> {
  const fetched = await fetchValue(RulesOfMembers, {
    daemon: address,
    method: "GET",
    path: `/-/rules?scope=members&department=${department}`,
  });
  if (!fetched.ok) {
    return { daemons: [], failures: [{ address, ...fetched }] };
  }
  const collected: Collected = { daemons: [], failures: [] };
  for (const { address, rules, error } of fetched.value.daemons) {
    if (rules !== undefined) collected.daemons.push({ address, rules });
    else collected.failures.push(unreachable(address, error));
  }
  return collected;
}

function unreachable(address: string, error = "no reason given") {
  const message = `Daemon ${address} could not be asked: ${error}`;
  return { address, message, status: ExitStatus.unreachable };
}
