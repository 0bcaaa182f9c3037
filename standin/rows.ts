import type { Row } from "./row.ts";

/**
 * Rows by table and partition, then by sort key. Rows are replaced and never
 * modified, so that a snapshot can share them.
 */
export type Rows = Map<string, Map<string, Row>>;
