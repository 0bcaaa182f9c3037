import { Agent } from "undici";
import type { Directory } from "../membership/directory.ts";
import { createControlFetch } from "../security/create_control_fetch.ts";
import { createSigner } from "../security/create_signer.ts";
import { epochOf } from "../security/epoch_of.ts";
import type { ControlFetches } from "./control_fetches.ts";

const TIMEOUT_MS = 1_000;
/**
 * In an indirect probe, the recipient itself waits for a probe of a third
 * daemon.
 */
const SLOW_TIMEOUT_MS = 2_500;
const KEEP_ALIVE_MS = 5_000;

/** Creates the functions with which a daemon sends signed control calls. */
export function createControlFetches(
  { key, directory }: { key: string; directory: Directory },
): ControlFetches {
  const { address, instance } = directory.identity;
  const signer = createSigner({ key, address, instance });
  // Separate from the connections of the data path, so that neither waits for
  // the other.
  const dispatcher = new Agent({
    connections: 2,
    keepAliveTimeout: KEEP_ALIVE_MS,
    connect: { timeout: TIMEOUT_MS },
  });
  const expectedEpoch = (recipient: string) => {
    const instance = directory.members.get(recipient)?.entry.instance;
    return instance === undefined
      ? undefined
      : epochOf({ instance, generation: 0 });
  };
  const options = { signer, dispatcher, expectedEpoch };
  return {
    fetch: createControlFetch({ ...options, timeoutMs: TIMEOUT_MS }),
    slowFetch: createControlFetch({ ...options, timeoutMs: SLOW_TIMEOUT_MS }),
    close: () => dispatcher.destroy(),
  };
}
