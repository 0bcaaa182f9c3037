import type { IncomingMessage } from "node:http";

/** A request body, or why there is none. */
type Body =
  | { kind: "complete"; body: Buffer | null }
  | { kind: "too-large" }
  | { kind: "aborted" };

/**
 * Reads a request body of at most `limit` bytes and calls `done` once. Bodies
 * are buffered so that an attempt can be repeated; responses are streamed.
 */
export function readBody(
  request: IncomingMessage,
  limit: number,
  done: (body: Body) => void,
): void {
  const declared = Number(request.headers["content-length"] ?? 0);
  const chunked = request.headers["transfer-encoding"] !== undefined;
  if (declared === 0 && !chunked) return done({ kind: "complete", body: null });
  if (declared > limit) return done({ kind: "too-large" });
  const chunks: Buffer[] = [];
  let size = 0;
  let finished = false;
  const finish = (body: Body) => {
    if (finished) return;
    finished = true;
    done(body);
  };
  request.on("data", (chunk: Buffer) => {
    size += chunk.length;
    if (size > limit) return finish({ kind: "too-large" });
    chunks.push(chunk);
  });
  request.on("end", () => {
    const body = chunks.length === 1 ? chunks[0]! : Buffer.concat(chunks);
    finish({ kind: "complete", body });
  });
  request.on("close", () => finish({ kind: "aborted" }));
}
