import type { Signer } from "./signer.ts";

/** Creates the signer of a daemon process. */
export function createSigner(
  { key, address, instance }: {
    key: string;
    address: string;
    instance: string;
  },
): Signer {
  return { key, address, instance, counter: 0, epochs: new Map() };
}
