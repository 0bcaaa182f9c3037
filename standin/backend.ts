/** Request handling of a stand-in, without fault injection. */
export type Backend = {
  isWrite(request: BackendRequest): boolean;
  /** Executes a request; reads use the snapshot if `stale` is set. */
  handle(request: BackendRequest, stale: boolean): BackendResponse;
  /** Copies the current content for stale reads. */
  snapshot(): void;
  fault(status: number, code: string): BackendResponse;
};

type BackendRequest = {
  method: string;
  path: string;
  /** Value of `x-amz-target`, or an empty string. */
  target: string;
  body: Buffer;
};

type BackendResponse = { status: number; type: string; body: string | Buffer };
