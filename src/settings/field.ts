import { isIP, isIPv4, isIPv6 } from "node:net";
import { z } from "zod";

const NAME = /^[a-z][a-z0-9-]{0,63}$/;
const WHOLE_NUMBER = /^\d{1,9}$/;
const WITH_UNIT = /^\d+(\.\d+)?\s*[a-zA-Z]+$/;
const MIN_PORT = 1;
const MAX_PORT = 65_535;
const MIN_KEY_CHARACTERS = 32;
const RAW_KEY_BYTES = 32;
// DER header of an Ed25519 SubjectPublicKeyInfo (RFC 8410).
const SPKI_HEADER = Buffer.from("302a300506032b6570032100", "hex");

/**
 * Creates the schema of a text value, with the code and message of its issue.
 */
function textField(
  { code, expected }: { code: string; expected: string },
  isValid: (text: string) => boolean,
) {
  return z.string({ error: expected }).refine(isValid, {
    error: expected,
    params: { code },
  });
}

function isPort(text: string): boolean {
  const port = Number(text);
  return WHOLE_NUMBER.test(text) && port >= MIN_PORT && port <= MAX_PORT;
}

/** The wildcard address cannot identify a daemon to its peers. */
function isAddress(text: string): boolean {
  return isIP(text) !== 0 && text !== "0.0.0.0" && !/^[0:]+$/.test(text);
}

/**
 * Nested calls and operators' commands are not authenticated, so their listener
 * has to be on a loopback address.
 */
function isLoopback(text: string): boolean {
  return text === "::1" || (isIPv4(text) && text.startsWith("127."));
}

function isEndpoint(text: string): boolean {
  const match = /^(?:\[([^\]]+)\]|([^:[\]]+)):(\d+)$/.exec(text);
  if (match === null || !isPort(match[3]!)) return false;
  return match[1] === undefined
    ? isIPv4(match[2]!) && isAddress(match[2]!)
    : isIPv6(match[1]) && isAddress(match[1]);
}

function isOrigin(text: string): boolean {
  if (!URL.canParse(text)) return false;
  const url = new URL(text);
  return ["http:", "https:"].includes(url.protocol) && url.pathname === "/" &&
    url.username === "" && url.search === "" && url.hash === "";
}

function isPublicKey(text: string): boolean {
  const bytes = Buffer.from(text, "base64");
  if (bytes.toString("base64") !== text) return false;
  if (bytes.length === RAW_KEY_BYTES) return true;
  return bytes.length === SPKI_HEADER.length + RAW_KEY_BYTES &&
    bytes.subarray(0, SPKI_HEADER.length).equals(SPKI_HEADER);
}

function wholeNumber(
  limits: { unit: string; min: number; max: number },
) {
  const { unit, min, max } = limits;
  const expected = `a whole number of ${unit} from ${min} to ${max}`;
  return z.string({ error: expected }).superRefine((text, context) => {
    if (WHOLE_NUMBER.test(text) && Number(text) >= min && Number(text) <= max) {
      return;
    }
    const code = WITH_UNIT.test(text) ? "wrong_unit" : "out_of_range";
    context.addIssue({ code: "custom", message: expected, params: { code } });
  }).transform(Number);
}

/**
 * Schemas of single values in a settings file; messages state the expected
 * value.
 */
export const field = {
  address: textField({
    code: "bad_address",
    expected: "an IP address other than the wildcard, such as 127.0.1.1",
  }, isAddress),
  loopback: textField({
    code: "bad_address",
    expected: "a loopback IP address, such as 127.0.0.1",
  }, isLoopback),
  port: textField({
    code: "bad_port",
    expected: `a port from ${MIN_PORT} to ${MAX_PORT}`,
  }, isPort).transform(Number),
  name: textField({
    code: "bad_name",
    expected:
      "a name of at most 64 lower-case letters, digits and hyphens that starts with a letter",
  }, (text) => NAME.test(text)),
  peers: textField({
    code: "bad_address",
    expected: "IP addresses with ports, such as 127.0.1.2:7001, 127.0.2.1:7001",
  }, (text) => text === "" || splitList(text).every(isEndpoint))
    .transform((text) => text === "" ? [] : splitList(text)),
  installationKey: textField({
    code: "short_key",
    expected: `at least ${MIN_KEY_CHARACTERS} characters`,
  }, (text) => text.length >= MIN_KEY_CHARACTERS),
  origin: textField({
    code: "bad_address",
    expected: "an origin such as http://127.0.0.1:9000",
  }, isOrigin),
  credential: textField({
    code: "short_key",
    expected: "at least 1 character",
  }, (text) => text.length > 0),
  publicKey: textField({
    code: "bad_key",
    expected:
      "an Ed25519 public key in base64 (32 raw bytes, or 44 bytes of SPKI DER)",
  }, isPublicKey),
  namespaces: textField({
    code: "bad_name",
    expected: "namespaces of debug, such as nutmegmoor:*",
  }, (text) => /^[\w:*,\s-]*$/.test(text)),
  wholeNumber,
};

function splitList(text: string): string[] {
  return text.split(",").map((part) => part.trim());
}
