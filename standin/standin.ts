/** Handle of a running stand-in. */
export type Standin = { origin: string; close(): Promise<void> };
