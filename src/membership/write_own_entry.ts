import type { Directory } from "./directory.ts";
import type { Entry } from "./entry.ts";
import { queueUpdate } from "./queue_update.ts";
import { deriveOwnState } from "./derive_own_state.ts";
import { putReport } from "./put_report.ts";

/** Writes a new version of the own entry, which also refutes every verdict. */
export function writeOwnEntry(
  directory: Directory,
  version: Pick<Entry, "incarnation" | "sequence">,
  now: number,
): void {
  const { address, dataCentre, instance } = directory.identity;
  const entry: Entry = {
    address,
    dataCentre,
    ...version,
    instance,
    ...deriveOwnState(directory),
  };
  putReport(directory, { entry, verdict: 0 }, now);
  queueUpdate(directory, address);
}
