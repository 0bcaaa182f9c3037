import { get, type IncomingMessage } from "node:http";

/** A response of which only the head has been read. */
type Unread = {
  /** Reads the body; `complete` is false if the connection closed early. */
  finish(): Promise<{ status: number; bytes: number; complete: boolean }>;
};

/** Sends a GET request and stops reading after the head of the response. */
export function readSlowly(url: string): Promise<Unread> {
  return new Promise((resolve, reject) => {
    const request = get(url, { agent: false }, (response) => {
      response.pause();
      resolve({ finish: () => finish(response) });
    });
    request.on("error", reject);
  });
}

function finish(response: IncomingMessage) {
  let bytes = 0;
  return new Promise<{ status: number; bytes: number; complete: boolean }>(
    (resolve) => {
      response.on("data", (chunk) => bytes += chunk.length);
      response.on("error", () => {});
      response.on("close", () =>
        resolve({
          status: response.statusCode ?? 0,
          bytes,
          complete: response.complete,
        }));
      response.resume();
    },
  );
}
