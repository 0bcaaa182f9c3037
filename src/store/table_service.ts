import type { Item } from "./item.ts";
import type { Write } from "./write.ts";

/** The request certainly did not take effect. */
type Unavailable = { kind: "unavailable"; message: string };

/** The request was sent and no response came; it may have taken effect. */
type Unknown = { kind: "unknown"; message: string };

/** The platform's transactional table service. Reads are consistent. */
export type TableService = {
  get(
    key: { partition: string; sort: string },
  ): Promise<{ kind: "found"; item: Item } | { kind: "absent" } | Unavailable>;
  /** Rows of a partition with a sort key at least `from` and below `to`. */
  query(
    range: { partition: string; from: string; to: string; limit: number },
  ): Promise<{ kind: "found"; items: Item[] } | Unavailable>;
  /** All writes take effect, or none. At most 25 writes. */
  transact(
    writes: Write[],
  ): Promise<
    { kind: "written" } | { kind: "conflict" } | Unavailable | Unknown
  >;
};
