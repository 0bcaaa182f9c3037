import test from "ava";
import fc from "fast-check";
import { readFileSync } from "node:fs";
import { parseSettings } from "./parse_settings.ts";

const sample = readFileSync("settings/viti-levu.ini", "utf8");

function codes(text: string): string[] {
  const parsed = parseSettings(text);
  return parsed.ok
    ? []
    : parsed.issues.map((issue) =>
      `${issue.line} ${issue.code} ${issue.path.join("/")}`
    );
}

test("sample files are accepted as they are", (t) => {
  for (const name of ["viti-levu", "ulaanbaatar"]) {
    t.deepEqual(codes(readFileSync(`settings/${name}.ini`, "utf8")), []);
  }
});

test("optional sections have defaults in the stated units", (t) => {
  const [daemon] = sample.split("[platform]");
  const parsed = parseSettings(daemon!);
  t.true(parsed.ok);
  if (!parsed.ok) return;
  t.is(parsed.value.platform, null);
  t.is(parsed.value.limits.requestBodyKib, 1024);
  t.is(parsed.value.limits.headerKib, 16);
  t.is(parsed.value.daemon.ingressPort, 7000);
});

test("all problems of a file are listed at once with their lines", (t) => {
  const text = `top = 1
[daemon]
address = 0.0.0.0
ingress-port = 70000
peer-port = 7001
local-port = 7001
data-centre = Suva
peers = 127.0.1.2, localhost:1
installation-key = short-secret
colour = red
region = a
region = b
[limits]
request-body-mib = 1
header-kib = 16 KiB
[other]
x = 1
[department.a]
public-key = AAAA
[platform]
no equals sign
`;
  t.deepEqual(codes(text), [
    "1 malformed_line ",
    "3 bad_address daemon/address",
    "4 bad_port daemon/ingress-port",
    "6 duplicate_port daemon/local-port",
    "7 bad_name daemon/data-centre",
    "8 bad_address daemon/peers",
    "9 short_key daemon/installation-key",
    "10 unknown_key daemon/colour",
    "12 duplicate_key daemon/region",
    "14 wrong_unit limits/request-body-mib",
    "15 wrong_unit limits/header-kib",
    "16 unknown_section other",
    "19 bad_key department.a/public-key",
    "20 missing_key platform/table-service",
    "20 missing_key platform/object-store",
    "20 missing_key platform/access-key",
    "20 missing_key platform/secret-key",
    "21 malformed_line platform",
  ]);
});

test("messages never contain a secret", (t) => {
  const parsed = parseSettings(
    "[daemon]\ninstallation-key = hunter2\n[daemon\nsecret-key hunter2\n",
  );
  t.false(JSON.stringify(parsed).includes("hunter2"));
});

test("no text makes the parser throw", (t) => {
  const line = fc.oneof(
    fc.string(),
    fc.constantFrom(
      "[daemon]",
      "[department.a]",
      "[department.__proto__]",
      "[__proto__]",
      "[department]",
      "[department.a.b]",
      "a = null",
      "__proto__ = 1",
      "peers[] = 1",
      "address = null",
      "region",
    ),
  );
  fc.assert(fc.property(fc.array(line), (lines) => {
    t.false(parseSettings(lines.join("\n")).ok);
  }));
});
