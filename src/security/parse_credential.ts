import type { Credential } from "./credential.ts";

const CREDENTIAL =
  /^([0-9a-f.:[\]]{1,64}) ([\w-]{1,32}) (\d{1,15}) ([\w.-]{1,48}) ([\w-]{43})$/;

/** Reads the header of a control message; null where it is malformed. */
export function parseCredential(text: string): Credential | null {
  const match = CREDENTIAL.exec(text);
  if (match === null) return null;
  const [, sender, instance, counter, epoch, mac] = match;
  return {
    sender: sender!,
    instance: instance!,
    counter: Number(counter),
    epoch: epoch!,
    mac: mac!,
  };
}
