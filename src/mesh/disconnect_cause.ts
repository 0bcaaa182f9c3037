/** Why a link was closed. */
export type DisconnectCause = {
  /** Metric label: a fixed set of values that don't depend on the peer. */
  kind:
    | "refused"
    | "reset"
    | "timeout"
    | "unreachable"
    /** The peer closed the connection in an orderly way. */
    | "closed"
    /** This daemon closed the link, for example after a ping time-out. */
    | "given-up"
    | "protocol"
    | "other";
  /** Log text; may contain an address. */
  reason: string;
};
