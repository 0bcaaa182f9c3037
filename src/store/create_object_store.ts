import { createHash } from "node:crypto";
import { Pool } from "undici";
import type { Credentials } from "./credentials.ts";
import type { ObjectStore } from "./object_store.ts";
import type { PlatformRequest } from "./platform_request.ts";
import type { Reply } from "./reply.ts";
import { send } from "./send.ts";
import { signRequest } from "./sign_request.ts";

const TIMEOUT_MS = 5_000;
const MAX_CONNECTIONS = 8;
const MAX_BYTES = 16 * 1024 * 1024;

/**
 * Creates a client of the object store over S3 `GET` and `PUT`. `close` ends
 * its connections.
 */
export function createObjectStore(
  { endpoint, bucket = "nutmegmoor", timeoutMs = TIMEOUT_MS, ...credentials }:
    & { endpoint: string; bucket?: string; timeoutMs?: number }
    & Credentials,
): ObjectStore & { close(): Promise<void> } {
  const { host, origin } = new URL(endpoint);
  const pool = new Pool(origin, {
    connections: MAX_CONNECTIONS,
    connect: { timeout: timeoutMs },
  });
  function call(method: "GET" | "PUT", key: string, body: Buffer) {
    const digest = createHash("sha256").update(body).digest("hex");
    const request: PlatformRequest = {
      method,
      path: `/${bucket}/${key.split("/").map(encodeSegment).join("/")}`,
      headers: { host, "x-amz-content-sha256": digest },
      body,
    };
    const date = new Date();
    const headers = signRequest(request, { credentials, service: "s3", date });
    return send(pool, { ...request, headers }, {
      timeoutMs,
      maxBytes: MAX_BYTES,
    });
  }
  return {
    async get(key) {
      const reply = await call("GET", key, Buffer.alloc(0));
      if (reply.kind !== "response") return unavailable(reply);
      if (reply.status === 200) return { kind: "found", body: reply.body };
      // A missing bucket is also 404, but tells nothing about the key.
      const absent = reply.status === 404 && reply.body.includes("NoSuchKey");
      return absent ? { kind: "absent" } : unavailable(reply);
    },
    async put(key, body) {
      const reply = await call("PUT", key, body);
      const written = reply.kind === "response" && reply.status === 200;
      return written ? { kind: "written" } : unavailable(reply);
    },
    close: () => pool.destroy(),
  };
}

function unavailable(reply: Reply): { kind: "unavailable"; message: string } {
  return {
    kind: "unavailable",
    message: reply.kind === "response"
      ? `The object store answered ${reply.status}`
      : reply.message,
  };
}

/**
 * Percent-encodes a path segment, including the characters that S3 signatures
 * require encoded but `encodeURIComponent` leaves.
 */
function encodeSegment(segment: string): string {
  return encodeURIComponent(segment).replace(
    /[!'()*]/g,
    (char) => `%${char.charCodeAt(0).toString(16).toUpperCase()}`,
  );
}
