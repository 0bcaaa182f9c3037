import type { Signer } from "./signer.ts";

const MAX_EPOCHS = 16_384;
const EPOCH = /^[\w.-]{1,48}$/;

/**
 * Stores the epoch that a recipient reported when it rejected a message. The
 * rejection is not signed; a forged epoch only causes one more rejection.
 */
export function learnEpoch(
  { epochs }: Signer,
  { recipient, epoch }: { recipient: string; epoch: string },
): void {
  if (!EPOCH.test(epoch)) return;
  epochs.delete(recipient);
  epochs.set(recipient, epoch);
  if (epochs.size <= MAX_EPOCHS) return;
  // Evicts the epoch that was reported longest ago.
  for (const oldest of epochs.keys()) {
    epochs.delete(oldest);
    break;
  }
}
