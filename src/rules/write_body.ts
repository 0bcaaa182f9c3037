import type { ObjectStore } from "../store/object_store.ts";
import { sha256 } from "../core/sha256.ts";

// Larger bodies go to the object store, because the table service handles
// larger rows poorly.
const MAX_ROW_BODY_BYTES = 65_536;

/**
 * Returns the attributes that hold a body. A large body is written to the
 * object store first, so that no row ever refers to a missing body.
 */
export async function writeBody(
  objects: ObjectStore,
  body: string,
): Promise<
  | { kind: "written"; attributes: Record<string, string> }
  | { kind: "unavailable"; message: string }
> {
  const digest = sha256(body);
  if (Buffer.byteLength(body) <= MAX_ROW_BODY_BYTES) {
    return { kind: "written", attributes: { digest, body } };
  }
  const put = await objects.put(digest, Buffer.from(body));
  return put.kind === "written"
    ? { kind: "written", attributes: { digest } }
    : put;
}
