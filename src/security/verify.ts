import type { ControlMessage } from "./control_message.ts";
import { equalMacs } from "./equal_macs.ts";
import { sign } from "./sign.ts";

/** Returns whether a MAC is that of a control message, in constant time. */
export function verify(
  key: string,
  message: ControlMessage,
  mac: string,
): boolean {
  return equalMacs(sign(key, message), mac);
}
