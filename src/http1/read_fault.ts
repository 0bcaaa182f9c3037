/** Why the bytes of a connection can't be read as messages. */
export type ReadFault =
  | "malformed"
  | "head-too-large"
  | "body-too-large"
  | "framing-too-large"
  /** The byte budget has no room left for the message. */
  | "no-room";
