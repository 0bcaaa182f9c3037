import { signSection } from "../../src/library.ts";
import { configuration } from "../../src/rules/configuration.ts";
import type { Section } from "../../src/rules/section.ts";
import type { Department } from "./department.ts";

/** Creates a signed section with so many services of four requests each. */
export function createSection(
  { name, privateKey }: Department,
  { version, services }: { version: number; services: number },
): Section {
  let builder = configuration(name);
  for (let index = 0; index < services; index++) {
    builder = builder.service(`${name}-service-${index}`, (service) =>
      service
        .request("reserve", { importance: "critical", deadlineMs: 2_000 })
        .request("deposit", { importance: "critical", deadlineMs: 3_000 })
        .request("stock", { method: "GET", path: "/stock/*", retries: 2 })
        .request("manifest", { method: "GET", deadlineMs: 1_000 + version }));
  }
  const terms = builder.build();
  if (!terms.ok) throw new Error(JSON.stringify(terms.issues));
  const section = { version, terms: terms.value };
  return signSection(section, { department: name, privateKey });
}
