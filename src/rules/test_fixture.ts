import { createHash, createPublicKey, type KeyObject } from "node:crypto";
import type { Change } from "./change.ts";
import { changeDigest } from "./change_digest.ts";
import { createRules } from "./create_rules.ts";
import { identifySection } from "./identify_section.ts";
import { parsePrivateKey } from "./parse_private_key.ts";
import type { RequestRule } from "./request_rule.ts";
import { requiredSigners } from "./required_signers.ts";
import type { Rules } from "./rules.ts";
import type { Section } from "./section.ts";
import { signSection } from "./sign_section.ts";
import { stateDigest } from "./state_digest.ts";
import type { Terms } from "./terms.ts";

/** Test data: departments with fixed keys, signed sections and changes. */
export const fixture = {
  departmentKeys: Object.fromEntries(
    ["collective", "harvest", "rival"].map((
      department,
    ) => [department, publicKey(department)]),
  ),
  rules: () => createRules(fixture),
  privateKey,
  terms,
  section,
  nextChange,
};

function privateKey(department: string): KeyObject {
  const seed = createHash("sha256").update(department).digest("base64");
  const key = parsePrivateKey(seed);
  if (!key.ok) throw new Error("Test key is not valid");
  return key.value;
}

function publicKey(department: string): string {
  return createPublicKey(privateKey(department))
    .export({ format: "der", type: "spki" }).toString("base64");
}

/** Returns the terms of a department with one service, named after it. */
function terms(department: string, retries = 0): Terms {
  const request: RequestRule = {
    name: "reserve",
    method: "POST",
    path: "/reserve",
    importance: "critical",
    idempotent: false,
    retries,
    deadlineMs: 2_000,
  };
  const services = [{ name: `${department}-shop`, requests: [request] }];
  return { kind: "department", department, services };
}

/** Returns a section with the signatures of all departments that must sign it. */
function section(version: number, terms: Terms): Section {
  return requiredSigners(terms).reduce<Section>(
    (signed, department) =>
      signSection(signed, { department, privateKey: privateKey(department) }),
    { version, terms, signatures: {} },
  );
}

/** Returns a change that continues the hash chain of the rules, without any check. */
function nextChange(rules: Rules, section: Section, id = "change"): Change {
  const identified = identifySection(section);
  const fields = {
    sequence: rules.record.sequence + 1,
    id,
    name: identified.name,
    version: identified.version,
    sectionDigest: identified.digest,
    previous: rules.record.digest,
    stateDigest: stateDigest(rules.sections, identified),
  };
  return { record: { ...fields, digest: changeDigest(fields) }, section };
}
