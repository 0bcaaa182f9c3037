import { randomUUID } from "node:crypto";
import type { Deployment } from "../deployments/deployment.ts";
import {
  configuration,
  type ConfigurationBuilder,
  parsePrivateKey,
  signSection,
} from "../src/library.ts";
import { createObjectStore } from "../src/store/create_object_store.ts";
import { createTableService } from "../src/store/create_table_service.ts";
import { submitChange } from "../src/rules/submit_change.ts";
import { Ports } from "./ports.ts";

type Options = {
  platform: string;
  publicKey: string;
  privateKey: string;
  version: number;
};

/** Signs the rules of a deployment and submits them to the platform's stand-ins. */
export async function publishRules(
  deployment: Deployment,
  { platform, publicKey, privateKey, version }: Options,
): Promise<void> {
  const terms = buildRules(deployment).build();
  const key = parsePrivateKey(privateKey);
  if (!terms.ok) throw new Error(JSON.stringify(terms.issues));
  if (!key.ok) throw new Error("Private key is malformed");
  const { department } = deployment;
  const section = signSection(
    { version, terms: terms.value },
    { department, privateKey: key.value },
  );
  const credentials = {
    accessKey: "fleet",
    secretKey: "fleet-secret",
    region: deployment.name,
  };
  const table = createTableService({
    endpoint: `http://${platform}:${Ports.tableService}`,
    ...credentials,
  });
  const objects = createObjectStore({
    endpoint: `http://${platform}:${Ports.objectStore}`,
    ...credentials,
  });
  const outcome = await submitChange(table, {
    objects,
    section,
    changeId: randomUUID(),
    departmentKeys: { [department]: publicKey },
  });
  await table.close();
  await objects.close();
  if (outcome.kind !== "accepted") throw new Error(JSON.stringify(outcome));
}

function buildRules(deployment: Deployment): ConfigurationBuilder {
  return deployment.services.reduce(
    (builder, { name, operations }) =>
      builder.service(
        name,
        (service) =>
          operations.reduce((collected, operation) => {
            const { importance, idempotent, retries, deadlineMs } = operation;
            return collected.request(operation.name, {
              method: operation.method as "GET",
              path: operation.path,
              importance,
              idempotent,
              retries,
              deadlineMs,
            });
          }, service),
      ),
    configuration(deployment.department),
  );
}
