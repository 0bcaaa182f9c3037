/**
 * The result of a control call: `refused` after a signed error response, so the
 * daemon is alive, and `unreached` if no signed response came in time.
 */
export type ControlReply<Value> =
  | { kind: "answered"; value: Value }
  | { kind: "refused"; message: string }
  | { kind: "unreached"; message: string };
