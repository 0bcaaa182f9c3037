import type { Socket } from "node:net";

/** A way in which a response ends within its head. */
type CutHeadCase = {
  title: string;
  /** The head, which is cut before each of its bytes. */
  head: string;
  /** Sends a part of the head and ends the connection. */
  finish: (socket: Socket, part: string) => void;
  /** Number of requests on the connection; the last one gets the part. */
  count: number;
};

const ENDS: Record<string, CutHeadCase["finish"]> = {
  "an end": (socket, part) => socket.end(part),
  "a reset": (socket, part) =>
    socket.write(part, () => socket.resetAndDestroy()),
};

/** Returns all cases for heads that begin with this status line and fields. */
export function cutHeadCases(fields: string): CutHeadCase[] {
  const heads = {
    "a length": `${fields}Content-Length: 4\r\n\r\n`,
    "no length": `${fields}\r\n`,
    "a close": `${fields}Connection: close\r\n\r\n`,
    "chunks": `${fields}Transfer-Encoding: chunked\r\n\r\n`,
    "interim responses": `HTTP/1.1 102 Processing\r\n\r\n${fields}\r\n`,
    "an interim close":
      `HTTP/1.1 103 Early Hints\r\nConnection: close\r\n\r\n${fields}\r\n`,
  };
  return Object.entries(heads).flatMap(([framing, head]) =>
    Object.entries(ENDS).flatMap(([end, finish]) =>
      [1, 2].map((count) => ({
        title: `head with ${framing} cut by ${end} on a ${
          count === 1 ? "new" : "kept"
        } connection`,
        head,
        finish,
        count,
      }))
    )
  );
}
