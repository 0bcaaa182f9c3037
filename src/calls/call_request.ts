import type { Fields } from "../http1/fields.ts";

/** A request as it travels to the daemon beside a backend server. */
export type CallRequest = {
  /** Id that the client gave this attempt. */
  id: string;
  method: string;
  /** Path and query. */
  target: string;
  /** End-to-end fields as the client sent them. */
  fields: Fields;
  body: Buffer;
  /** Name of the route, the key of what is learned about its cost. */
  route: string;
  /** Id of the backend server that shall run it. */
  serverId: string;
  /** Service that runs on the VM where the request began. */
  caller: string;
  /** Whether a backend server made the request while it ran another. */
  nested: boolean;
  rank: number;
  /** How far the run would repeat earlier work, from 0 to 1. */
  repeatedShare: number;
  repeatable: boolean;
  /** Steady time at which the request is given up, in ms. */
  expiresAt: number;
};
