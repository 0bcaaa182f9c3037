/** The response of an execution, recorded while it arrives. */
export type Recording = {
  status: number;
  headers: Record<string, string | string[]>;
  chunks: Buffer[];
  size: number;
  /** Whether the response is too large to be kept. */
  overflow: boolean;
};
