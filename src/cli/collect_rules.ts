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
  })),
});

/** Asks each daemon at its own local listener. */
export async function collectRules(
  { addresses, members }: { addresses: string[]; members: boolean },
  environment: Pick<Environment, "err">,
): Promise<Collected> {
  const each = await Promise.all(
    addresses.map((address) => members ? askAll(address) : askOne(address)),
  );
  const failures = each.flatMap((one) => one.failures);
  for (const { message } of failures) environment.err(`${message}\n`);
  return { daemons: each.flatMap((one) => one.daemons), failures };
}

async function askOne(address: string): Promise<Collected> {
  const fetched = await fetchValue(AnyRules, {
    daemon: address,
    method: "GET",
    path: "/-/rules",
  });
  return fetched.ok
    ? { daemons: [{ address, rules: fetched.value }], failures: [] }
    : { daemons: [], failures: [{ address, ...fetched }] };
}

/**
 * Local listeners are bound to loopback, so that other VMs are out of reach
 * from here; the daemon asks its members over the control connections.
 */
async function askAll(address: string): Promise<Collected> {
  const fetched = await fetchValue(RulesOfMembers, {
    daemon: address,
    method: "GET",
    path: "/-/rules?scope=members",
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
