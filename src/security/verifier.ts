import type { Rejection } from "./rejection.ts";
import type { ReplayWindow } from "./replay_window.ts";

/**
 * State for the verification of the control messages that one daemon receives.
 */
export type Verifier = {
  key: string;
  /** Address of this daemon, `host:port`. */
  address: string;
  window: ReplayWindow;
  /** Rejected messages by reason. */
  rejected: Record<Rejection, number>;
};
