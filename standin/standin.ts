/** A running stand-in. */
export type Standin = { origin: string; close(): Promise<void> };
