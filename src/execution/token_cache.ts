/** Execution tokens received in advance from peers. */
export type TokenCache = {
  /** By address, least recently supplied first. */
  peers: Map<string, PeerTokens>;
};

type PeerTokens = {
  /** Process that issued the tokens. */
  instance: string;
  /** Oldest first; `usableUntil` is in ms on the own clock. */
  tokens: { text: string; usableUntil: number }[];
};
