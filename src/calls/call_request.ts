import type { Fields } from "../http1/fields.ts";

/** A request as it is sent to the daemon of a backend server. */
export type CallRequest = {
  /** Id that the client assigned to this attempt. */
  id: string;
  method: string;
  /** Path and query. */
  target: string;
  /** End-to-end fields as the client sent them. */
  fields: Fields;
  body: Buffer;
  /** Name of the route, under which its measured cost is kept. */
  route: string;
  /** Id of the backend server that is to run the request. */
  serverId: string;
  /** Service on the VM from which the request was sent. */
  caller: string;
  /** Whether a backend server sent the request while it ran another one. */
  nested: boolean;
  rank: number;
  /** Share of the run that would repeat earlier work, from 0 to 1. */
  repeatedShare: number;
  repeatable: boolean;
  /** When the request is given up, in ms of the monotonic clock. */
  expiresAt: number;
};
