import type { Buffer } from "node:buffer";
import type { Credential } from "./credential.ts";
import { sign } from "./sign.ts";
import type { Signer } from "./signer.ts";

/**
 * Placeholder for an unknown epoch; the recipient rejects it and reports its
 * own.
 */
const NO_EPOCH = "none";

/** A control message to sign. */
type Outgoing = {
  method: string;
  path: string;
  recipient: string;
  /** Epoch according to the recipient's directory entry, if it has one. */
  expectedEpoch: string | undefined;
  body: Buffer;
};

/** Signs the next message of this process. */
export function issueCredential(
  signer: Signer,
  { expectedEpoch, ...message }: Outgoing,
): Credential {
  const { key, address: sender, instance, epochs } = signer;
  const counter = ++signer.counter;
  const epoch = epochs.get(message.recipient) ?? expectedEpoch ?? NO_EPOCH;
  const fields = { sender, instance, counter, epoch };
  return { ...fields, mac: sign(key, { ...message, ...fields }) };
}
