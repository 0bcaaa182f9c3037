import { createServer } from "node:http";

/** In-memory stand-in of the platform's store, with its HTTP interface. */
export function createStore() {
  const rows = new Map();
  const feeds = new Set();
  let version = 0;

  const write = (row) => {
    rows.set(JSON.stringify([row.table, row.part, row.key]), {
      ...row,
      objectVersion: version,
    });
  };
  const notify = () => {
    for (const check of [...feeds]) check();
  };
  const reply = (response, status, body) => {
    response.writeHead(status, { "Content-Type": "application/json" });
    response.end(
      JSON.stringify({
        ...body,
        objectVersion: version,
        nowS: performance.now() / 1_000,
      }),
    );
  };
  const handlers = {
    "/rows-get"(query, _body, response) {
      const from = query.get("from") ?? "";
      const to = query.get("to") || "\uffff";
      const limit = Number(query.get("limit") || 500);
      const found = [...rows.values()].filter((row) =>
        row.table === query.get("table") &&
        row.part === (query.get("part") ?? "") && !row.removed &&
        row.key >= from && row.key < to
      ).sort((a, b) => a.key < b.key ? -1 : 1);
      reply(response, 200, {
        rows: found.slice(0, limit),
        hasMore: found.length > limit,
      });
    },
    "/rows-feed"(query, _body, response) {
      const after = Number(query.get("after"));
      const check = (timedOut) => {
        const changed = [...rows.values()].filter((row) =>
          row.table === query.get("table") && row.objectVersion > after
        ).sort((a, b) => a.objectVersion - b.objectVersion);
        if (changed.length === 0 && !timedOut) return;
        clearTimeout(timer);
        feeds.delete(onChange);
        reply(response, 200, { rows: changed });
      };
      const onChange = () => check(false);
      const timer = setTimeout(() => check(true), Number(query.get("waitMs")));
      feeds.add(onChange);
      response.on("close", () => {
        clearTimeout(timer);
        feeds.delete(onChange);
      });
      check(false);
    },
    "/rows-tx"(_query, body, response) {
      const { expected, upserts, deletes } = JSON.parse(body);
      const current = (row) =>
        rows.get(JSON.stringify([row.table, row.part, row.key]));
      const holds = expected.every((row) => {
        const found = current(row);
        const known = found === undefined || found.removed
          ? 0
          : found.objectVersion;
        return known === row.objectVersion;
      });
      if (!holds) {
        reply(response, 412, {
          rows: expected.map(current).filter((row) => row !== undefined),
        });
        return;
      }
      version++;
      for (const row of upserts) write(row);
      for (const row of deletes) write({ ...row, removed: true });
      reply(response, 200, {});
      notify();
    },
  };
  const server = createServer((request, response) => {
    const url = new URL(request.url, "http://store");
    let body = "";
    request.setEncoding("utf8");
    request.on("data", (chunk) => body += chunk);
    request.on("end", () => {
      const handle = handlers[url.pathname];
      if (handle === undefined) reply(response, 404, {});
      else handle(url.searchParams, body, response);
    });
  });
  return {
    server,
    /** Writes a row as the operator does; it is acknowledged on return. */
    put(table, key, value) {
      version++;
      write({
        table,
        part: "",
        key,
        value: Buffer.from(value).toString("base64"),
      });
      notify();
    },
  };
}
