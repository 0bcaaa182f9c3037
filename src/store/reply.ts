/**
 * Result of one HTTP exchange. `not-sent`: no byte of the request was written.
 * `no-response`: some may have been written, and no complete response arrived.
 */
export type Reply =
  | { kind: "response"; status: number; body: Buffer }
  | { kind: "not-sent"; message: string }
  | { kind: "no-response"; message: string };
