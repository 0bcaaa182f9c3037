import { generateKeyPairSync } from "node:crypto";

/** A department's key pair, each key as 32 raw bytes in base64. */
type KeyPair = { publicKey: string; privateKey: string };

const RAW_BYTES = 32;

/**
 * Generates an Ed25519 key pair for a department. The public key goes into the
 * settings of every daemon.
 *
 * ```ts
 * const { publicKey, privateKey } = generateKeys();
 * ```
 */
export function generateKeys(): KeyPair {
  const pair = generateKeyPairSync("ed25519");
  const publicDer = pair.publicKey.export({ format: "der", type: "spki" });
  const privateDer = pair.privateKey.export({ format: "der", type: "pkcs8" });
  return {
    publicKey: publicDer.subarray(-RAW_BYTES).toString("base64"),
    privateKey: privateDer.subarray(-RAW_BYTES).toString("base64"),
  };
}
