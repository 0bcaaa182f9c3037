/** Execution tokens received in advance from peers. */
export type TokenCache = {
  /** By address of the peer, least recently supplied first. */
  peers: Map<string, PeerTokens>;
};

type PeerTokens = {
  /** Instance id of the process that issued the tokens. */
  instance: string;
  /** Oldest first; `usableUntil` is in ms on the local clock. */
  tokens: { text: string; usableUntil: number }[];
};
