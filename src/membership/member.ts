import type { Report } from "./report.ts";

/**
 * What a directory stores about one daemon. Replaced, never modified in place.
 */
export type Member = Report & {
  /** When this daemon first saw this incarnation and server, in ms. */
  since: number;
  /** Term of the member in the digests, see `fingerprint`. */
  fingerprint: number;
  /** Size of the packed report in a message, in bytes. */
  bytes: number;
};
