import { createDirectory } from "../../src/membership/create_directory.ts";
import type { Directory } from "../../src/membership/directory.ts";
import type { Entry } from "../../src/membership/entry.ts";
import { merge } from "../../src/membership/merge.ts";
import { createEntry } from "./create_entry.ts";

/** Creates the directory of a daemon that knows others and has no news. */
export function knownDirectory(index: number, entries: Entry[]): Directory {
  const { address, dataCentre, instance } = createEntry(index);
  const directory = createDirectory(
    {
      address,
      dataCentre,
      instance,
      incarnation: createEntry(index).incarnation,
    },
    0,
  );
  merge(directory, entries, 0);
  directory.updates.clear();
  return directory;
}
