/** The requests of an origin that have no reply yet. */
export type OpenWork = {
  /** Requests of clients, or of nobody knows whom. */
  clients: number;
  /** Calls that the own server makes while it runs requests. */
  nested: number;
  /** The oldest of all; null where there is none. */
  oldest: { id: string; route: string; server?: string; ms: number } | null;
};
