/** Signs the control messages that one daemon sends. */
export type Signer = {
  key: string;
  /** Address of this daemon, `host:port`. */
  address: string;
  /** Random id of this process. */
  instance: string;
  /** Number of the last message. */
  counter: number;
  /** Epochs that recipients named, where they differ from the expected one. */
  epochs: Map<string, string>;
};
