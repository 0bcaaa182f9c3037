/** State for signing the control messages that one daemon sends. */
export type Signer = {
  key: string;
  /** Address of this daemon, `host:port`. */
  address: string;
  /** Random id of this process. */
  instance: string;
  /** Sequence number of the last message. */
  counter: number;
  /** Epochs reported by recipients, where they differ from the expected one. */
  epochs: Map<string, string>;
};
