/** The operations of the platform's row store that the daemon uses. */
export type RowStore = {
  /** Returns all rows of a table and the version they were read at. */
  list(table: string): Promise<Page>;
  /**
   * Waits up to `waitMs` for rows changed after a version and returns them, or
   * `history-gone` if the store no longer has the changes since that version.
   */
  changes(table: string, after: number, waitMs: number): Promise<Changes>;
  /** Writes a row unconditionally. */
  put(table: string, key: string, value: Buffer): Promise<void>;
  /**
   * Closes all connections, which may be unresponsive; later calls go to
   * `address` if the store has moved.
   */
  reconnect(address?: string): void;
};

type Row = { key: string; value: Buffer; removed: boolean };
type Page = { rows: Row[]; version: number };
type Changes = Page | "history-gone";
