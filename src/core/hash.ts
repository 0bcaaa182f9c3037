/** Returns the 32-bit FNV-1a hash of a string; used for cohorts, never for security. */
export function hash(text: string): number {
  let value = 0x811c9dc5;
  for (let index = 0; index < text.length; index++) {
    value = Math.imul(value ^ text.charCodeAt(index), 0x01000193);
  }
  // FNV-1a leaves the low bits of short, similar strings correlated.
  value ^= value >>> 15;
  value = Math.imul(value, 0x2c1b3c6d);
  return (value ^ (value >>> 13)) >>> 0;
}
