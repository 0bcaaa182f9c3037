import test from "ava";
import { generateKeys } from "./generate_keys.ts";
import { identifySection } from "./identify_section.ts";
import { parsePrivateKey } from "./parse_private_key.ts";
import { parsePublicKey } from "./parse_public_key.ts";
import { signSection } from "./sign_section.ts";
import { signatureIssues } from "./signature_issues.ts";
import { fixture } from "./test_fixture.ts";

test("generated raw keys sign and verify", (t) => {
  const pair = generateKeys();
  const publicKey = parsePublicKey(pair.publicKey);
  const privateKey = parsePrivateKey(pair.privateKey);
  if (!publicKey.ok || !privateKey.ok) return t.fail("Key does not parse");
  const section = signSection(
    { version: 1, terms: fixture.terms("collective") },
    { department: "collective", privateKey: privateKey.value },
  );
  const keys = new Map([["collective", publicKey.value]]);
  const departments = ["collective"];
  const requirement = { departments, keys };
  t.deepEqual(signatureIssues(identifySection(section), requirement), []);
  const altered = { ...section, version: 2 };
  const issues = signatureIssues(identifySection(altered), requirement);
  t.is(issues[0]?.code, "signature-invalid");
});

test("text that is not an Ed25519 key is rejected", (t) => {
  t.false(parsePublicKey("").ok);
  t.false(parsePublicKey("AAAA").ok);
  t.false(parsePrivateKey(generateKeys().publicKey.slice(4)).ok);
});
