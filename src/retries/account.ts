/** Retries that one attempt at this hop may still spend or allocate to child calls. */
export type Account = {
  /** Retries held here; allocated ones are deducted until they are reclaimed. */
  held: number;
  /** A closed account allocates nothing: its response has already been sent. */
  open: boolean;
};
