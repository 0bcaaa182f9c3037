/**
 * A map over a shared, unchanging base. It lets one process hold thousands of
 * directories that differ in few members.
 */
export class LayeredMap<Key, Value> extends Map<Key, Value> {
  #base: ReadonlyMap<Key, Value> = new Map();
  #hidden = new Set<Key>();

  static over<Key, Value>(base: ReadonlyMap<Key, Value>) {
    const map = new LayeredMap<Key, Value>();
    map.#base = base;
    return map;
  }

  override get(key: Key): Value | undefined {
    const own = super.get(key);
    if (own !== undefined || this.#hidden.has(key)) return own;
    return this.#base.get(key);
  }

  override has(key: Key): boolean {
    return super.has(key) || !this.#hidden.has(key) && this.#base.has(key);
  }

  override delete(key: Key): boolean {
    const had = this.has(key);
    super.delete(key);
    if (this.#base.has(key)) this.#hidden.add(key);
    return had;
  }

  override *entries(): MapIterator<[Key, Value]> {
    yield* super.entries();
    for (const entry of this.#base) {
      const [key] = entry;
      if (!super.has(key) && !this.#hidden.has(key)) yield entry;
    }
  }

  override *keys(): MapIterator<Key> {
    for (const [key] of this.entries()) yield key;
  }

  override *values(): MapIterator<Value> {
    for (const [, value] of this.entries()) yield value;
  }

  override [Symbol.iterator](): MapIterator<[Key, Value]> {
    return this.entries();
  }
}
