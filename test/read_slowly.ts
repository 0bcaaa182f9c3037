import { get, type IncomingMessage } from "node:http";

/** A response of which nothing more than the head has been read. */
type Unread = {
  /** Reads the rest; `whole` is false where the connection broke. */
  finish(): Promise<{ status: number; bytes: number; whole: boolean }>;
};

/** Requests a response and stops reading after its head. */
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
  return new Promise<{ status: number; bytes: number; whole: boolean }>(
    (resolve) => {
      response.on("data", (chunk) => bytes += chunk.length);
      response.on("error", () => {});
      response.on("close", () =>
        resolve({
          status: response.statusCode ?? 0,
          bytes,
          whole: response.complete,
        }));
      response.resume();
    },
  );
}
