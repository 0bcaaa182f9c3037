/** One section header or `key = value` line of a settings file. */
export type LocatedLine = {
  /** Counted from 1. */
  line: number;
  section: string;
  /** Null for the section header itself. */
  key: string | null;
  text: string;
};
