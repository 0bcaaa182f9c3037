const INVALID = /[^a-zA-Z0-9_]/;

/** Names may hold letters, digits and underscores only. */
export function sanitiseName(name: string): string {
  return INVALID.test(name) ? name.replace(/[^a-zA-Z0-9_]/g, "_") : name;
}
