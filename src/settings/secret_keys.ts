/** Keys whose values never appear in messages or logs. */
export const SECRET_KEYS: ReadonlySet<string> = new Set([
  "installation-key",
  "access-key",
  "secret-key",
]);
