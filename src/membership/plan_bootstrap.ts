import { hash } from "../core/hash.ts";
import type { Write } from "../store/write.ts";
import type { BootstrapRow } from "./bootstrap_row.ts";
import { BOOTSTRAP_ROW_COUNT } from "./bootstrap_row_count.ts";
import type { Directory } from "./directory.ts";
import { peersOf } from "./peers_of.ts";

/**
 * How long a daemon that reached nobody tries the listed daemons before it
 * takes a seat, in ms; otherwise rows of a replaced data centre would stay.
 */
const ALONE_MS = 30_000;
/** A row older than this is written again, so that readers can tell it is kept. */
const MAX_AGE_MS = 3_600_000;

type Found = {
  rows: ReadonlyMap<number, BootstrapRow>;
  /** Wall clock in ms, only compared with the age of the own row. */
  wallMs: number;
};

/**
 * Returns the write of a bootstrap row that is this daemon's to do, or null.
 * The members of a data centre that come first by the hash of their address
 * hold one seat each, so that few daemons write. A daemon that knows nobody
 * holds no seat while it still tries the listed ones, see `ALONE_MS`.
 */
export function planBootstrap(
  directory: Directory,
  { rows, wallMs }: Found,
  now: number,
): Write | null {
  const { address, dataCentre } = directory.identity;
  const known = peersOf(directory);
  const peers = known.get(dataCentre) ?? [];
  const listed = [...rows.values()].some((row) => row.address !== address);
  const joining = known.size === 0 && now - directory.contactAt < ALONE_MS;
  if (joining && listed) return null;
  const seat = [...peers, address].sort((one, two) =>
    hash(one) - hash(two) || (one < two ? -1 : 1)
  ).indexOf(address);
  if (seat >= BOOTSTRAP_ROW_COUNT || directory.phase !== "present") return null;
  const row = rows.get(seat);
  const ageMs = Math.abs(wallMs - (row?.writtenAt ?? 0));
  if (row?.address === address && ageMs < MAX_AGE_MS) return null;
  const revision = (row?.revision ?? 0) + 1;
  return {
    item: {
      partition: "bootstrap",
      sort: `${dataCentre}#${seat}`,
      attributes: { address, revision, writtenAt: wallMs },
    },
    condition: row === undefined
      ? { kind: "absent" }
      : { kind: "equals", attribute: "revision", value: row.revision },
  };
}
