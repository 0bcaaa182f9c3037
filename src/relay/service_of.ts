const SERVICE = /^\/([a-z][a-z0-9-]{0,63})(?:[/?]|$)/;

/** Returns the service that a path names in its first segment, or null. */
export function serviceOf(path: string): string | null {
  return SERVICE.exec(path)?.[1] ?? null;
}
