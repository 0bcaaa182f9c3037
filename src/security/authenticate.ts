import type { Buffer } from "node:buffer";
import { acceptCounter } from "./accept_counter.ts";
import type { Credential } from "./credential.ts";
import { epochOf } from "./epoch_of.ts";
import type { Verifier } from "./verifier.ts";
import { parseCredential } from "./parse_credential.ts";
import type { Rejection } from "./rejection.ts";
import { verify } from "./verify.ts";

/** A control message as received. */
type Received = {
  method: string;
  path: string;
  /** Value of the credential header. */
  header: string | undefined;
  body: Buffer;
};

/** Checks the MAC of a control message and that it was not received before. */
export function authenticate(
  verifier: Verifier,
  { method, path, header, body }: Received,
): { ok: true; credential: Credential } | { ok: false; reason: Rejection } {
  if (header === undefined) return { ok: false, reason: "unsigned" };
  const credential = parseCredential(header);
  if (credential === null) return { ok: false, reason: "malformed" };
  const { mac, ...fields } = credential;
  const input = { method, path, recipient: verifier.address, ...fields, body };
  if (!verify(verifier.key, input, mac)) return { ok: false, reason: "forged" };
  if (credential.epoch !== epochOf(verifier.window)) {
    return { ok: false, reason: "wrong-epoch" };
  }
  const verdict = acceptCounter(verifier.window, credential);
  if (verdict === "expired") return { ok: false, reason: "wrong-epoch" };
  if (verdict === "replayed") return { ok: false, reason: "replayed" };
  return { ok: true, credential };
}
