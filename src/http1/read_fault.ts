/** Why a stream of bytes can't be read as messages. */
export type ReadFault = "malformed" | "head-too-large" | "body-too-large";
