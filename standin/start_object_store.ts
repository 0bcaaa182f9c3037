import type { Backend } from "./backend.ts";
import type { Standin } from "./standin.ts";
import { startStandin } from "./start_standin.ts";

/** Starts an in-memory object store with S3 `GET` and `PUT`. */
export function startObjectStore(
  options: { address: string; port: number; accessKey: string },
): Promise<Standin> {
  return startStandin({ ...options, backend: createBackend() });
}

function createBackend(): Backend {
  const objects = new Map<string, Buffer>();
  let snapshotObjects = new Map<string, Buffer>();
  return {
    isWrite: ({ method }) => method === "PUT",
    handle({ method, path, body }, stale) {
      if (method === "PUT") {
        objects.set(path, body);
        return { status: 200, type: "text/plain", body: "" };
      }
      if (method !== "GET") return fault(405, "MethodNotAllowed");
      const found = (stale ? snapshotObjects : objects).get(path);
      if (found === undefined) return fault(404, "NoSuchKey");
      return { status: 200, type: "application/octet-stream", body: found };
    },
    snapshot() {
      snapshotObjects = new Map(objects);
    },
    fault,
  };
}

function fault(status: number, code: string) {
  return {
    status,
    type: "application/xml",
    body: `<?xml version="1.0" encoding="UTF-8"?><Error><Code>${code}</Code>` +
      `<Message>${code}</Message></Error>`,
  };
}
