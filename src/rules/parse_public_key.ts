import { createPublicKey, type KeyObject } from "node:crypto";
import type { Result } from "../core/result.ts";

const RAW_BYTES = 32;
// DER header of an Ed25519 SubjectPublicKeyInfo (RFC 8410).
const SPKI_HEADER = Buffer.from("302a300506032b6570032100", "hex");

/**
 * Parses an Ed25519 public key in base64: raw (32 bytes) or SPKI. Any other
 * text results in the issue `invalid-key`.
 *
 * ```ts
 * const key = parsePublicKey(generateKeys().publicKey);
 * ```
 */
export function parsePublicKey(text: string): Result<KeyObject> {
  const bytes = Buffer.from(text, "base64");
  const der = bytes.length === RAW_BYTES
    ? Buffer.concat([SPKI_HEADER, bytes])
    : bytes;
  try {
    const key = createPublicKey({ key: der, format: "der", type: "spki" });
    if (key.asymmetricKeyType === "ed25519") return { ok: true, value: key };
  } catch {
    // Reported below: the message of the crypto library does not name the
    // expected format.
  }
  const message = "Expected an Ed25519 public key in base64, raw or SPKI";
  return { ok: false, issues: [{ code: "invalid-key", path: [], message }] };
}
