import { hash } from "../core/hash.ts";
import type { Write } from "../store/write.ts";
import type { BootstrapRow } from "./bootstrap_row.ts";
import { BOOTSTRAP_ROW_COUNT } from "./bootstrap_row_count.ts";
import type { Directory } from "./directory.ts";
import { peersOf } from "./peers_of.ts";

/**
 * How long a daemon that has reached no other tries the daemons in the rows
 * before it writes one itself, in ms. Without the limit, the rows of a data
 * centre whose daemons were all replaced would stay.
 */
const JOIN_TIMEOUT_MS = 30_000;
/**
 * A row older than this is written again, so that readers can tell that it is
 * maintained.
 */
const MAX_AGE_MS = 3_600_000;

type BootstrapState = {
  rows: ReadonlyMap<number, BootstrapRow>;
  /** Wall clock in ms, only compared with the age of the own row. */
  wallMs: number;
};

/**
 * Returns the write of a bootstrap row that is due on this daemon, or null. The
 * members of a data centre that come first by the hash of their address own one
 * row each, so that few daemons write. A daemon that knows no other writes no
 * row while it still tries the listed ones, see `JOIN_TIMEOUT_MS`.
 */
export function planBootstrap(
  directory: Directory,
  { rows, wallMs }: BootstrapState,
  now: number,
): Write | null {
  const { address, dataCentre } = directory.identity;
  const peersByDataCentre = peersOf(directory);
  const peers = peersByDataCentre.get(dataCentre) ?? [];
  const listed = [...rows.values()].some((row) => row.address !== address);
  const joining = peersByDataCentre.size === 0 &&
    now - directory.contactAt < JOIN_TIMEOUT_MS;
  if (joining && listed) return null;
  const rank = [...peers, address].sort((one, two) =>
    hash(one) - hash(two) || (one < two ? -1 : 1)
  ).indexOf(address);
  if (rank >= BOOTSTRAP_ROW_COUNT || directory.phase !== "present") return null;
  const row = rows.get(rank);
  const ageMs = Math.abs(wallMs - (row?.writtenAt ?? 0));
  if (row?.address === address && ageMs < MAX_AGE_MS) return null;
  const revision = (row?.revision ?? 0) + 1;
  return {
    item: {
      partition: "bootstrap",
      sort: `${dataCentre}#${rank}`,
      attributes: { address, revision, writtenAt: wallMs },
    },
    condition: row === undefined
      ? { kind: "absent" }
      : { kind: "equals", attribute: "revision", value: row.revision },
  };
}
