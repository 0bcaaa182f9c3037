/** Headers of the control protocol. */
export const HEADER = {
  credential: "nutmegmoor-control",
  /** In a rejection: the epoch that the message should have named. */
  epoch: "nutmegmoor-epoch",
  /** In a response: its MAC. */
  mac: "nutmegmoor-mac",
} as const;
