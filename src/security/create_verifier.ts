import { createReplayWindow } from "./create_replay_window.ts";
import type { Verifier } from "./verifier.ts";

/** Creates the verifier of a daemon process. */
export function createVerifier(
  { key, address, instance }: {
    key: string;
    address: string;
    instance: string;
  },
): Verifier {
  return {
    key,
    address,
    window: createReplayWindow(instance),
    rejected: {
      unsigned: 0,
      forged: 0,
      "wrong-epoch": 0,
      replayed: 0,
      oversized: 0,
      malformed: 0,
    },
  };
}
