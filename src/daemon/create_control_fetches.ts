import { Agent } from "undici";
import type { Directory } from "../membership/directory.ts";
import { createControlFetch } from "../security/create_control_fetch.ts";
import { createSigner } from "../security/create_signer.ts";
import type { ControlFetches } from "./control_fetches.ts";

const TIMEOUT_MS = 500;
const KEEP_ALIVE_MS = 5_000;

/** Creates the signed fetches of a daemon. */
export function createControlFetches(
  { key, directory }: { key: string; directory: Directory },
): ControlFetches {
  const { address, instance } = directory.identity;
  const signer = createSigner({ key, address, instance });
  // Control connections are apart from those of the data path, so that neither
  // waits for the other.
  const dispatcher = new Agent({
    connections: 2,
    keepAliveTimeout: KEEP_ALIVE_MS,
    connect: { timeout: TIMEOUT_MS },
  });
  const expectedEpoch = (recipient: string) =>
    directory.members.get(recipient)?.entry.instance;
  const options = { signer, dispatcher, expectedEpoch };
  return {
    fetch: createControlFetch({ ...options, timeoutMs: TIMEOUT_MS }),
    slowFetch: createControlFetch({ ...options, timeoutMs: 2 * TIMEOUT_MS }),
    close: () => dispatcher.destroy(),
  };
}
