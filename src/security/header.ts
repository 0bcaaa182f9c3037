/** Headers of the control protocol. */
export const HEADER = {
  credential: "nutmegmoor-control",
  /** In a rejection: the current epoch of the recipient. */
  epoch: "nutmegmoor-epoch",
  /** In a response: its MAC. */
  mac: "nutmegmoor-mac",
} as const;
