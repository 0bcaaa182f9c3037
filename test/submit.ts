import type { Fleet } from "../fleet/fleet.ts";
import { Ports } from "../fleet/ports.ts";
import { configuration, parsePrivateKey, signSection } from "../src/library.ts";
import { createObjectStore } from "../src/store/create_object_store.ts";
import { createTableService } from "../src/store/create_table_service.ts";
import type { SubmissionOutcome } from "../src/rules/submission_outcome.ts";
import { submitChange } from "../src/rules/submit_change.ts";

/** A change to the fleet's rules; `mark` distinguishes changes with the same version. */
type Change = { version: number; mark: number; changeId: string };

/** Signs and submits a change to the rules. */
export async function submit(
  { platform, deployment, keys }: Fleet,
  { version, mark, changeId }: Change,
): Promise<SubmissionOutcome> {
  const { department } = deployment;
  const terms = deployment.services.reduce(
    (builder, { name }) =>
      builder.service(name, (service) =>
        service.request("any", {
          method: "GET",
          path: "/*",
          importance: "critical",
          idempotent: true,
          deadlineMs: 10_000 + mark,
        })),
    configuration(department),
  ).build();
  const key = parsePrivateKey(keys.privateKey);
  if (!terms.ok || !key.ok) throw new Error("Change is not valid");
  const signer = { department, privateKey: key.value };
  const section = signSection({ version, terms: terms.value }, signer);
  const login = { accessKey: "fleet", secretKey: "s", region: "r" };
  const table = createTableService({
    endpoint: `http://${platform}:${Ports.tableService}`,
    ...login,
  });
  const objects = createObjectStore({
    endpoint: `http://${platform}:${Ports.objectStore}`,
    ...login,
  });
  const departmentKeys = { [department]: keys.publicKey };
  try {
    return await submitChange(table, {
      objects,
      section,
      changeId,
      departmentKeys,
    });
  } finally {
    await table.close();
    await objects.close();
  }
}
