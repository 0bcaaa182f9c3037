/** An attempt in progress at another daemon, monitored for stalls. */
export type RemoteAttempt = {
  attemptId: string;
  address: string;
  /** Whether it has a connection; until then it waits for one. */
  sent: boolean;
  /** When the latest bytes arrived, or the attempt was sent, in ms. */
  progressAt: number;
  /**
   * Whether reading is paused because the recipient of the response is slow.
   */
  paused: boolean;
  /** Time without progress after which the daemon is probed, in ms. */
  stallTimeoutMs: number;
  /** Whether a probe of the daemon is in progress. */
  probing: boolean;
  /** Fails the attempt because its connection is dead. */
  lose: () => void;
};
