/** Why a stream of bytes can't be read as messages. */
export type ReadFault =
  | "malformed"
  | "head-too-large"
  | "body-too-large"
  | "framing-too-large"
  /** The daemon holds too much for others. */
  | "no-room";
