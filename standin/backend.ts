/** What a stand-in does with requests, apart from its faults. */
export type Backend = {
  isWrite(request: BackendRequest): boolean;
  /** Answers from the snapshot where `stale` is set. */
  handle(request: BackendRequest, stale: boolean): BackendResponse;
  /** Keeps the present content for stale reads. */
  snapshot(): void;
  fault(status: number, code: string): BackendResponse;
};

type BackendRequest = {
  method: string;
  path: string;
  /** Value of `x-amz-target`, or the empty text. */
  target: string;
  body: Buffer;
};

type BackendResponse = { status: number; type: string; body: string | Buffer };
