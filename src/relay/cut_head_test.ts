import test from "ava";
import { Pool } from "undici";
import { cutHeadCases } from "../../test/support/cut_head_cases.ts";
import { startCuttingServer } from "../../test/support/start_cutting_server.ts";
import { dispatch } from "./dispatch.ts";

const FIELDS = "HTTP/1.1 200 OK\r\nNutmegmoor-Attempt: a\r\n";

/** Events of the last request on a connection. */
async function eventsOf(
  server: Omit<Parameters<typeof startCuttingServer>[0], "complete">,
): Promise<string[]> {
  const complete = `${FIELDS}Content-Length: 0\r\n\r\n`;
  const { address, close } = await startCuttingServer({ ...server, complete });
  const pool = new Pool(`http://${address}`, {
    connections: 1,
    pipelining: 1,
  });
  let events: string[] = [];
  for (let i = 0; i < server.count; i++) {
    events = await new Promise<string[]>((resolve) => {
      const seen: string[] = [];
      const request = { method: "GET", path: "/", headers: {}, body: null };
      dispatch(pool, request, {
        begin: () => true,
        start: (status) => seen.push(`start ${status}`),
        data: () => true,
        end: () => resolve([...seen, "end"]),
        fail: ({ sent }) => resolve([...seen, sent ? "lost" : "not sent"]),
      });
    });
  }
  await pool.destroy();
  close();
  return events;
}

for (const { title, head, finish, count } of cutHeadCases(FIELDS)) {
  test(title, async (t) => {
    for (let bytes = 0; bytes < head.length; bytes++) {
      const part = head.slice(0, bytes);
      const events = await eventsOf({ part, finish, count });
      t.deepEqual(events, ["lost"], `cut after ${bytes} bytes`);
    }
  });
}
