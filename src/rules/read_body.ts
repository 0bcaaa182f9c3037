import { sha256 } from "../core/sha256.ts";
import type { Item } from "../store/item.ts";
import type { ObjectStore } from "../store/object_store.ts";
import { invalidRow } from "./invalid_row.ts";
import type { StoreFault } from "./store_fault.ts";

/**
 * Returns the body of a row, from the row itself or from the object store under
 * its digest. Checks the digest in both cases.
 */
export async function readBody(
  objects: ObjectStore,
  item: Item,
): Promise<{ kind: "found"; body: string } | StoreFault> {
  const { body, digest } = item.attributes;
  const found = typeof body === "string"
    ? { kind: "found" as const, body }
    : await objects.get(String(digest));
  if (found.kind === "unavailable") return found;
  if (found.kind === "absent") return invalidRow(item.sort);
  const text = found.body.toString();
  return sha256(text) === digest
    ? { kind: "found", body: text }
    : invalidRow(item.sort);
}
