/** Why a control message was rejected; also the label of its counter. */
export type Rejection =
  | "unsigned"
  | "forged"
  | "wrong-epoch"
  | "replayed"
  | "oversized"
  | "malformed";
