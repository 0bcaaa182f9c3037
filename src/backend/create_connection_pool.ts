import type { ByteBudget } from "../core/byte_budget.ts";
import type { ConnectionPool } from "./connection_pool.ts";
import { openServerConnection } from "./open_server_connection.ts";
import type { ServerConnection } from "./server_connection.ts";
import type { ServerProtocol } from "./server_protocol.ts";

// A request that crosses the server's close is lost, so an idle connection is
// given up this long before the server would close it.
const CLOSE_MARGIN_MS = 500;

/** Creates an empty pool of connections to `address`, `IP:PORT`. */
export function createConnectionPool(
  { address, protocol, budget, steadyTime }: {
    address: string;
    protocol: ServerProtocol;
    /** Holds what was read of unfinished responses. */
    budget: ByteBudget;
    steadyTime: () => number;
  },
): ConnectionPool {
  const [host, port] = address.split(":") as [string, string];
  // The connection that became idle last is at the end.
  const idle: ServerConnection[] = [];
  // Connections opened before the last clear() aren't taken back.
  let generation = 0;

  const open = () => {
    const opened = generation;
    return openServerConnection({
      host,
      port: Number(port),
      protocol,
      budget,
      steadyTime,
      onIdle(connection) {
        if (opened === generation) idle.push(connection);
        else connection.close();
      },
      onClose(connection) {
        const at = idle.indexOf(connection);
        if (at >= 0) idle.splice(at, 1);
      },
    });
  };
  const isStale = ({ idleSince, keepAliveMs }: ServerConnection, now: number) =>
    now - idleSince > Math.max(0, keepAliveMs - CLOSE_MARGIN_MS);

  return {
    take() {
      const connection = idle.pop();
      if (connection === undefined) return open();
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
