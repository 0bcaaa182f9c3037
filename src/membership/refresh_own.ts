import { canonicalJson } from "../core/canonical_json.ts";
import type { Directory } from "./directory.ts";
import { ownEntry } from "./own_entry.ts";
import { ownMember } from "./own_member.ts";
import { writeOwn } from "./write_own.ts";

/** Writes the own entry again if phase or announcement changed what it says. */
export function refreshOwn(directory: Directory, now: number): void {
  const { entry } = ownMember(directory);
  const { state, server } = entry;
  if (canonicalJson(ownEntry(directory)) === canonicalJson({ state, server })) {
    return;
  }
  const { incarnation, sequence } = entry;
  writeOwn(directory, { incarnation, sequence: sequence + 1 }, now);
}
