import { createServer } from "node:http";
import process from "node:process";
import { Pool } from "undici";

// The floor that the product is compared with: one relay hop that decides
// nothing. Arguments: host, port and the origin of the next hop.
const [host, port, next] = process.argv.slice(2);
const pool = new Pool(next!, { connections: 64, pipelining: 1 });
const server = createServer((request, response) => {
  const { method, url, headers } = request;
  const passed = { ...headers };
  delete passed.connection;
  delete passed["transfer-encoding"];
  pool.stream(
    { method: method as "GET", path: url!, headers: passed, body: request },
    ({ statusCode, headers }) => {
      response.writeHead(statusCode, headers);
      return response;
    },
  ).catch(() => response.destroy());
});
server.keepAliveTimeout = 60_000;
server.listen(Number(port), host, () => console.log("listening"));
process.on("SIGTERM", () => process.exit(0));
