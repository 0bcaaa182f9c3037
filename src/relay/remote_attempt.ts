/** An attempt in progress at another daemon, watched for progress. */
export type RemoteAttempt = {
  attemptId: string;
  address: string;
  /** When the latest bytes arrived, or the attempt was sent, in ms. */
  progressAt: number;
  /** Whether this side has asked the sender to wait. */
  paused: boolean;
  /** Time without progress after which the daemon is asked, in ms. */
  stallTimeoutMs: number;
  /** Whether the daemon is being asked. */
  probing: boolean;
  /** Ends the attempt, because its connection is dead. */
  lose: () => void;
};
