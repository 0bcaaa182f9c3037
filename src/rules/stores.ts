import type { ObjectStore } from "../platform/object_store.ts";
import type { TableService } from "../platform/table_service.ts";

/** Where rules are kept: rows in the table, large bodies in the object store. */
export type Stores = { table: TableService; objects: ObjectStore };
