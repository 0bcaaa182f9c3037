import { fileSchema } from "./file_schema.ts";

const DEPARTMENT_SECTION = /^department\.[a-z][a-z0-9-]{0,63}$/;

/** Returns the keys that a section may have, or null for an unknown section. */
export function knownKeys(section: string): string[] | null {
  const name = DEPARTMENT_SECTION.test(section) ? "department" : section;
  if (section === "department" || !Object.hasOwn(fileSchema, name)) return null;
  return Object.keys(fileSchema[name as keyof typeof fileSchema].shape);
}
