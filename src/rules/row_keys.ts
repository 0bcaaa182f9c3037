const SEQUENCE_DIGITS = 12;

/** Keys of the rows that hold the rules. */
export const ROW_KEYS = {
  partition: "rules",
  /**
   * Partition of agreements that lack signatures; the sort key is the change
   * id.
   */
  pending: "pending",
  head: "head",
  /** Versions of all sections after the newest change. */
  state: "state",
  /** Zero-padded, so that rows sort in the order of their changes. */
  change: (sequence: number) =>
    `change#${String(sequence).padStart(SEQUENCE_DIGITS, "0")}`,
  /**
   * Row of the change accepted under a change id, so that no id is used twice.
   */
  submission: (changeId: string) => `submission#${changeId}`,
  section: (name: string, version: number) => `section#${name}#${version}`,
};
