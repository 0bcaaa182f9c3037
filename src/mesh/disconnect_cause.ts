/** Why a link ended. */
export type DisconnectCause = {
  /** One of a few, the same for all peers. */
  kind:
    | "refused"
    | "reset"
    | "timeout"
    | "unreachable"
    /** The other side ended it in order. */
    | "closed"
    /** This side ended it, such as for its silence. */
    | "given-up"
    | "protocol"
    | "other";
  /** Text for the log; may hold an address. */
  reason: string;
};
