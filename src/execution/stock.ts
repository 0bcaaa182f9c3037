/** Execution tokens received in advance from peers. */
export type Stock = {
  /** By address, least recently supplied first. */
  peers: Map<string, Supply>;
};

type Supply = {
  /** Process that issued the tokens. */
  instance: string;
  /** Oldest first; `usableUntil` is in ms on the own clock. */
  tokens: { text: string; usableUntil: number }[];
};
