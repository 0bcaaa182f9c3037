import type { Fields } from "../http1/fields.ts";

/** A request as a client or the local backend server sent it. */
export type OriginRequest = {
  id: string;
  host: string;
  method: string;
  /** Path and query. */
  target: string;
  fields: Fields;
  body: Buffer;
  /** How long the client waits, in ms; null if it states no deadline. */
  deadlineMs: number | null;
};
