import type { Settings } from "../settings/settings.ts";

/** Returns the public keys in the settings by department. */
export function departmentKeys(settings: Settings): Record<string, string> {
  return Object.fromEntries(
    Object.entries(settings.departments).map((
      [name, { publicKey }],
    ) => [name, publicKey]),
  );
}
