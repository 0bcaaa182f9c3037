import type { Fields } from "./fields.ts";

/** A complete HTTP/1.1 message; the body is empty if there is none. */
export type Message = {
  /** The request line or the status line. */
  startLine: string;
  fields: Fields;
  body: Buffer;
  /** Whether the connection can carry another message after this one. */
  persistent: boolean;
};
