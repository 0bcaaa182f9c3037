import type { Token } from "./token.ts";

const TOKEN =
  /^([0-9a-f.:]{1,64})_([0-9a-f]{16})_([0-9a-f]{16})_(\d{1,15})_([\w-]{22})$/;

/** Parses an execution token; returns null if it is malformed. */
export function parseToken(text: string): Token | null {
  const match = TOKEN.exec(text);
  if (match === null) return null;
  const [, address, instance, nonce, expiresAt, mac] = match;
  return {
    address: address!,
    instance: instance!,
    nonce: nonce!,
    expiresAt: Number(expiresAt),
    mac: mac!,
  };
}
