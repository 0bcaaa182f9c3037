const SEQUENCE_DIGITS = 12;

/** Keys of the rows that hold the rules. */
export const ROW_KEYS = {
  partition: "rules",
  /** Partition of agreements that lack signatures, by change id. */
  pending: "pending",
  head: "head",
  /** Versions of all sections after the newest change. */
  state: "state",
  /** Padded, so that the order of the rows is that of the changes. */
  change: (sequence: number) =>
    `change#${String(sequence).padStart(SEQUENCE_DIGITS, "0")}`,
  /** Which change a change id stands for, so that the id is never used twice. */
  submission: (changeId: string) => `submission#${changeId}`,
  section: (name: string, version: number) => `section#${name}#${version}`,
};
