import { canonicalJson } from "../core/canonical_json.ts";
import type { Directory } from "./directory.ts";
import { deriveOwnState } from "./derive_own_state.ts";
import { ownMember } from "./own_member.ts";
import { writeOwnEntry } from "./write_own_entry.ts";

/**
 * Writes a new version of the own entry if phase or announcement changed its
 * contents.
 */
export function refreshOwnEntry(directory: Directory, now: number): void {
  const { entry } = ownMember(directory);
  const { state, server } = entry;
  if (
    canonicalJson(deriveOwnState(directory)) ===
      canonicalJson({ state, server })
  ) {
    return;
  }
  const { incarnation, sequence } = entry;
  writeOwnEntry(directory, { incarnation, sequence: sequence + 1 }, now);
}
