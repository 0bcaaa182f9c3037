import type { ByteBudget } from "../core/byte_budget.ts";
import type { ConnectionPool } from "./connection_pool.ts";
import { openServerConnection } from "./open_server_connection.ts";
import type { ServerConnection } from "./server_connection.ts";
import type { ServerProtocol } from "./server_protocol.ts";

// A request that is sent while the server closes the connection is lost, so
// idle connections are closed this long before the server's keep-alive
// timeout.
const CLOSE_MARGIN_MS = 500;

/** Creates an empty pool of connections to `address` (`IP:PORT`). */
export function createConnectionPool(
  { address, protocol, budget, steadyTime }: {
    address: string;
    protocol: ServerProtocol;
    /** Accounts for the bytes of responses that are being read. */
    budget: ByteBudget;
    steadyTime: () => number;
  },
): ConnectionPool {
  const [host, port] = address.split(":") as [string, string];
  // In the order in which they became idle, the latest last.
  const idle: ServerConnection[] = [];
  // Incremented by clear(). Connections opened in an earlier generation are
  // closed instead of returned to the pool.
  let generation = 0;

  const open = () => {
    const openedIn = generation;
    return openServerConnection({
      host,
      port: Number(port),
      protocol,
      budget,
      steadyTime,
      onIdle(connection) {
        if (openedIn === generation) idle.push(connection);
        else connection.close();
      },
      onClose(connection) {
        const index = idle.indexOf(connection);
        if (index >= 0) idle.splice(index, 1);
      },
    });
  };
  const isStale = ({ idleSince, keepAliveMs }: ServerConnection, now: number) =>
    now - idleSince > Math.max(0, keepAliveMs - CLOSE_MARGIN_MS);

  return {
    take(id) {
      const index = idle.findLastIndex((connection) => connection.mayCarry(id));
      if (index < 0) return open();
      const [connection] = idle.splice(index, 1) as [ServerConnection];
      if (!isStale(connection, steadyTime())) return connection;
      connection.close();
      return open();
    },
    sweep(now) {
      for (const connection of idle.filter((one) => isStale(one, now))) {
        connection.close();
      }
    },
    clear() {
      generation++;
      for (const connection of idle.splice(0)) connection.close();
    },
  };
}
