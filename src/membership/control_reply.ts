/**
 * The result of a control call: `refused` by a signed error of a daemon that
 * is alive, or `unreached`, when no signed response came in time.
 */
export type ControlReply<Value> =
  | { kind: "answered"; value: Value }
  | { kind: "refused"; message: string }
  | { kind: "unreached"; message: string };
