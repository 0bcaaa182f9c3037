/** Summary of the requests of an origin without a reply yet. */
export type OpenWork = {
  /** Requests of clients or of unknown origin. */
  clients: number;
  /** Calls that the local backend server makes while it runs requests. */
  nested: number;
  /** The oldest request; null if there is none. */
  oldest: { id: string; route: string; server?: string; ms: number } | null;
};
