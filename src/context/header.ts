/** Names of the headers that carry context, lower-case as Node gives them. */
export const Header = {
  request: "nutmegmoor-request",
  attempt: "nutmegmoor-attempt",
  parent: "nutmegmoor-parent",
  deadline: "nutmegmoor-deadline",
  importance: "nutmegmoor-importance",
  department: "nutmegmoor-department",
  retries: "nutmegmoor-retries",
  unspent: "nutmegmoor-unspent",
  token: "nutmegmoor-token",
  tokens: "nutmegmoor-tokens",
  step: "nutmegmoor-step",
  outcome: "nutmegmoor-outcome",
  reason: "nutmegmoor-reason",
  level: "nutmegmoor-level",
  load: "nutmegmoor-load",
} as const;
