import type { ObjectStore } from "../store/object_store.ts";
import type { TableService } from "../store/table_service.ts";

/**
 * Where rules are stored: rows in the table, large bodies in the object store.
 */
export type Stores = { table: TableService; objects: ObjectStore };
