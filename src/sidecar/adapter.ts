import type { Probe } from "../backend/probe.ts";
import type { ServerProtocol } from "../backend/server_protocol.ts";
import type { ClientProtocol } from "../edge/client_protocol.ts";
import type { RouteTable } from "../routes/route_table.ts";
import type { Result } from "../core/result.ts";
import type { RowStore } from "./row_store.ts";

/** The platform-specific parts of a daemon. */
export type Adapter = {
  store: RowStore;
  clientProtocol: ClientProtocol;
  serverProtocol: ServerProtocol;
  /** Table and key of the row that holds the configuration. */
  configurationRow: { table: string; key: string };
  /** Runs a health check against a server; null if it is unhealthy. */
  probe(address: string, healthPath: string): Promise<Probe | null>;
  readConfiguration(bytes: Uint8Array): Result<RouteTable>;
};
