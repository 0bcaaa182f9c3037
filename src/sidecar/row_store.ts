/** Rows of the platform's store, as far as the daemon uses them. */
export type RowStore = {
  /** Returns all rows of a table and the version they were read at. */
  list(table: string): Promise<Page>;
  /** Returns the rows changed after a version, once there are any. */
  changes(table: string, after: number, waitMs: number): Promise<Changes>;
  /** Writes a row whatever it holds. */
  put(table: string, key: string, value: Buffer): Promise<void>;
  /**
   * Drops all connections, for when they may have gone silent or the store has
   * moved to another address.
   */
  reconnect(address?: string): void;
};

type Row = { key: string; value: Buffer; removed: boolean };
type Page = { rows: Row[]; version: number };
type Changes = Page | "history-gone";
