import test from "ava";
import { readFileSync } from "node:fs";
import { createServer, type ServerResponse } from "node:http";
import type { AddressInfo } from "node:net";
import { until } from "../../test/until.ts";
import { createRelay } from "../daemon/create_relay.ts";
import { createLedger } from "../execution/create_ledger.ts";
import { createMetrics } from "../metrics/create_metrics.ts";
import { parseSettings } from "../settings/parse_settings.ts";
import { checkStalls } from "./check_stalls.ts";
import { sendRemote } from "./send_remote.ts";

const STALL_MS = 1_100;

/** A daemon that holds its responses, and one that sends it two attempts. */
async function start(answersProbes: (ids: string[]) => string) {
  const held = new Map<string, ServerResponse>();
  const probes: string[] = [];
  const server = createServer((request, response) => {
    const { pathname, searchParams } = new URL(request.url!, "http://daemon");
    if (pathname === "/-/alive") {
      probes.push(searchParams.get("attempt")!);
      response.end(answersProbes([...held.keys()]));
    } else held.set(String(request.headers["nutmegmoor-attempt"]), response);
  });
  server.listen(0, "127.0.0.1");
  await until("listening", () => server.listening);
  const address = `127.0.0.1:${(server.address() as AddressInfo).port}`;
  const settings = parseSettings(
    readFileSync("settings/viti-levu.ini", "utf8"),
  );
  if (!settings.ok) throw new Error("Sample settings are invalid");
  const clock = { now: 0 };
  const relay = createRelay({
    settings: {
      ...settings.value,
      limits: { ...settings.value.limits, connectionsPerPeer: 1 },
    },
    ledger: createLedger("127.0.1.1:7001"),
    table: null,
    metrics: createMetrics(),
    clock: () => clock.now,
    random: () => 0,
    isLeaving: () => false,
    candidates: () => [],
    serviceRule: () => undefined,
  });
  const results = new Map<string, string>();
  for (const attemptId of ["a", "b"]) {
    sendRemote(relay, {
      address,
      attempt: {
        context: {
          requestId: attemptId,
          attemptId,
          deadlineAt: 60_000,
          importance: "critical",
          department: "none",
          retries: 0,
          token: null,
        },
        service: "s",
        method: "GET",
        path: "/s/",
        headers: {},
        body: null,
        tokensWanted: 0,
      },
    }, {
      start: ({ status }) => results.set(attemptId, `${status}`),
      data: () => true,
      end: () => {},
      fail: ({ kind }) => results.set(attemptId, kind),
    });
  }
  await until("first attempt sent", () => held.has("a"));
  /** Lets a stall pass and waits until the daemon has been probed. */
  const probe = async () => {
    clock.now += STALL_MS;
    checkStalls(relay, clock.now);
    await until(
      "probed",
      () => [...relay.remoteAttempts].every(({ probing }) => !probing),
    );
  };
  const answer = (attemptId: string) =>
    held.get(attemptId)!.writeHead(200, {
      "content-length": 0,
      "nutmegmoor-attempt": attemptId,
      "nutmegmoor-outcome": "answered",
    }).end();
  const close = () => {
    server.close();
    server.closeAllConnections();
  };
  return { held, probes, results, probe, answer, close };
}

// Under overload all connections to a narrow service are in use for longer
// than the time after which attempts without progress are probed.
test("an attempt that waits for a connection isn't taken for lost", async (t) => {
  const peer = await start((running) => running.join(","));
  await peer.probe();
  t.deepEqual(peer.probes, ["a"]);
  t.deepEqual([...peer.results], []);
  peer.answer("a");
  await until("second attempt sent", () => peer.held.has("b"));
  peer.answer("b");
  await until("both answered", () => peer.results.size === 2);
  t.deepEqual([...peer.results], [["a", "200"], ["b", "200"]]);
  peer.close();
});

test("an attempt on a dead connection is lost as soon as before", async (t) => {
  const peer = await start(() => "");
  await peer.probe();
  t.deepEqual([...peer.results], [["a", "unknown"]]);
  // The one that waited isn't affected.
  await until("second attempt sent", () => peer.held.has("b"));
  peer.answer("b");
  await until("answered", () => peer.results.get("b") === "200");
  peer.close();
});
