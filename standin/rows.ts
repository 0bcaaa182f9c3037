import type { Row } from "./row.ts";

/** Rows by table and partition, then by sort key. Rows are replaced, never changed. */
export type Rows = Map<string, Map<string, Row>>;
