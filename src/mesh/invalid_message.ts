/** Why a message isn't one that this version understands. */
export type InvalidMessage = {
  ok: false;
  kind: string;
  /** The message is of a kind that this version doesn't know. */
  unknownKind: boolean;
  /** Position of the invalid element, and what is wrong with it. */
  at: string;
  problem: string;
  /** Number of the call that the message may belong to. */
  stream: number | null;
};
