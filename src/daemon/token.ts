/** Tokens under which the parts of a daemon are registered in its container. */
export const Token = {
  settings: Symbol("settings"),
  clock: Symbol("clock"),
  random: Symbol("random"),
  relay: Symbol("relay"),
  ledger: Symbol("ledger"),
  drain: Symbol("drain"),
} as const;
