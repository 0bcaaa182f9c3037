/**
 * Returns a 32-bit hash of a string (FNV-1a with a finalizer). Not
 * cryptographically secure.
 */
export function hash(text: string): number {
  let value = 0x811c9dc5;
  for (let index = 0; index < text.length; index++) {
    value = Math.imul(value ^ text.charCodeAt(index), 0x01000193);
  }
  // Finalizer: FNV-1a alone leaves the low bits of short, similar strings
  // correlated.
  value ^= value >>> 15;
  value = Math.imul(value, 0x2c1b3c6d);
  return (value ^ (value >>> 13)) >>> 0;
}
