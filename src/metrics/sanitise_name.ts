const INVALID = /[^a-zA-Z0-9_]/;

/** Replaces each character that Prometheus doesn't allow in a name by `_`. */
export function sanitiseName(name: string): string {
  return INVALID.test(name) ? name.replace(/[^a-zA-Z0-9_]/g, "_") : name;
}
