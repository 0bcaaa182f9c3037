import type { ObjectStore } from "../src/store/object_store.ts";

/** An in-memory object store that a test can make unavailable. */
type MemoryObjects = ObjectStore & {
  bodies: Map<string, Buffer>;
  down: boolean;
};

const DOWN = { kind: "unavailable", message: "Object store is down" } as const;

/** Creates an empty in-memory object store. */
export function createMemoryObjects(): MemoryObjects {
  const objects: MemoryObjects = {
    bodies: new Map(),
    down: false,
    get: (key) => Promise.resolve(get(objects, key)),
    put: (key, body) => Promise.resolve(put(objects, key, body)),
  };
  return objects;
}

function get({ bodies, down }: MemoryObjects, key: string) {
  if (down) return DOWN;
  const body = bodies.get(key);
  return body ? { kind: "found" as const, body } : { kind: "absent" as const };
}

function put({ bodies, down }: MemoryObjects, key: string, body: Buffer) {
  if (down) return DOWN;
  bodies.set(key, body);
  return { kind: "written" as const };
}
