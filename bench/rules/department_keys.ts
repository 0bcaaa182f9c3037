import type { Department } from "./department.ts";

/** Returns the public keys by department. */
export function departmentKeys(
  departments: readonly Department[],
): Record<string, string> {
  return Object.fromEntries(
    departments.map(({ name, publicKey }) => [name, publicKey]),
  );
}
