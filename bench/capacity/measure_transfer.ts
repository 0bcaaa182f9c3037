import { once } from "node:events";
import { createServer } from "node:http";
import type { AddressInfo } from "node:net";
import process from "node:process";
import { Agent } from "undici";
import { controlTrpc } from "../../src/membership/control_trpc.ts";
import { createRules } from "../../src/rules/create_rules.ts";
import { createRulesClient } from "../../src/rules/create_rules_client.ts";
import { createRulesRouter } from "../../src/rules/create_rules_router.ts";
import type { Rules } from "../../src/rules/rules.ts";
import { createControlFetch } from "../../src/security/create_control_fetch.ts";
import { createControlHandler } from "../../src/security/create_control_handler.ts";
import { createVerifier } from "../../src/security/create_verifier.ts";
import { createSigner } from "../../src/security/create_signer.ts";
import { applySection } from "../rules/apply_section.ts";
import { createDepartments } from "../rules/create_departments.ts";
import { createSection } from "../rules/create_section.ts";
import { departmentKeys } from "../rules/department_keys.ts";
import { PLAN } from "./plan.ts";

const HOST = "127.0.78.3";
const KEY = "k".repeat(32);
const INSTANCE = "0123456789abcdef";
const LATER_CHANGES = 167;
const BEHIND = [1, 10, 30, 35, 36, 40, LATER_CHANGES];

/**
 * Prints what a daemon gets that asks another one for rules over a connection,
 * being so many changes behind or with empty memory.
 */
export async function measureTransfer(): Promise<void> {
  const rules = createPlannedRules();
  const { client, address, close } = await serve(rules);
  const last = rules.record.sequence;
  for (const behind of BEHIND) {
    const delta = await client.pull(address, last - behind);
    const got = delta === null
      ? "no answer"
      : `${delta.kind} ${JSON.stringify(delta).length} bytes`;
    process.stdout.write(`pull, ${behind} changes behind: ${got}\n`);
  }
  for (const share of [0, 0.5, 0.7, 0.9]) {
    const known = [...rules.sections.values()]
      .slice(0, share * PLAN.departments)
      .map(({ name, version, digest }) => ({ name, version, digest }));
    const snapshot = await client.snapshot(address, known);
    const got = snapshot && `${JSON.stringify(snapshot).length} bytes`;
    process.stdout.write(
      `snapshot, ${known.length} of ${PLAN.departments} sections known: ${
        got ?? "no answer"
      }\n`,
    );
  }
  await close();
}

/** Rules of all departments, and the changes of an hour on top. */
function createPlannedRules(): Rules {
  const departments = createDepartments(PLAN.departments);
  const rules = createRules({ departmentKeys: departmentKeys(departments) });
  const services = PLAN.services / PLAN.departments;
  const changes = PLAN.departments + LATER_CHANGES;
  for (let change = 0; change < changes; change++) {
    const department = departments[change % PLAN.departments]!;
    const version = 1 + Math.floor(change / PLAN.departments);
    applySection(rules, createSection(department, { version, services }));
  }
  return rules;
}

async function serve(rules: Rules) {
  const server = createServer().listen(0, HOST);
  await once(server, "listening");
  const address = `${HOST}:${(server.address() as AddressInfo).port}`;
  const router = controlTrpc.router({
    rules: createRulesRouter({ rules, receive: () => {} }),
  });
  const guard = createVerifier({ key: KEY, address, instance: INSTANCE });
  server.on(
    "request",
    createControlHandler({ verifier: guard, router, log: () => {} }),
  );
  const dispatcher = new Agent();
  const fetch = createControlFetch({
    signer: createSigner({ key: KEY, address: "a:1", instance: INSTANCE }),
    dispatcher,
    timeoutMs: 10_000,
    expectedEpoch: () => `${INSTANCE}.0`,
  });
  const close = async () => {
    await dispatcher.destroy();
    server.close();
  };
  return { client: createRulesClient({ fetch }), address, close };
}
