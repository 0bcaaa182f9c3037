import type { Directory } from "./directory.ts";
import type { Entry } from "./entry.ts";
import { noteNews } from "./note_news.ts";
import { ownEntry } from "./own_entry.ts";
import { putReport } from "./put_report.ts";

/** Writes a new version of the own entry, which also refutes every verdict. */
export function writeOwn(
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
    ...ownEntry(directory),
  };
  putReport(directory, { entry, verdict: 0 }, now);
  noteNews(directory, address);
}
