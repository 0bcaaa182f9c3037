import type { Buffer } from "node:buffer";

/** The parts of a control message that its MAC covers. */
export type ControlMessage = {
  method: string;
  /** Path with query, as on the request line. */
  path: string;
  /** Addresses of the sending and the receiving daemon, `host:port`. */
  sender: string;
  recipient: string;
  /** Random id of the sending process. */
  instance: string;
  /** Sequence number of the message within the sending process. */
  counter: number;
  /** Epoch of the recipient, see `createReplayWindow`. */
  epoch: string;
  body: Buffer;
};
