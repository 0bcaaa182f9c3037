import test from "ava";
import { readFileSync } from "node:fs";
import { createServer } from "node:http";
import type { AddressInfo } from "node:net";
import { createRelay } from "../daemon/create_relay.ts";
import { createLedger } from "../execution/create_ledger.ts";
import { createMetrics } from "../metrics/create_metrics.ts";
import { openAccount } from "../retries/open_account.ts";
import { findRule } from "../rules/find_rule.ts";
import { parseSettings } from "../settings/parse_settings.ts";
import { forward } from "./forward.ts";
import { obtainTokens } from "./obtain_tokens.ts";
import { handlePeer } from "./handle_peer.ts";
import type { Relay } from "./relay.ts";
import { tokenPool } from "./token_pool.ts";

const UNREACHABLE_ADDRESS = "127.0.0.1:1";

function relayFor(addresses: string[]): Relay {
  const settings = parseSettings(
    readFileSync("settings/viti-levu.ini", "utf8"),
  );
  if (!settings.ok) throw new Error("Sample settings are invalid");
  const list = addresses.map((address) => ({
    address,
    dataCentre: "suva",
    slots: 10,
    since: 0,
    warmupMs: 0,
  }));
  return createRelay({
    settings: settings.value,
    ledger: createLedger("127.0.1.1:7001"),
    table: null,
    metrics: createMetrics(),
    clock: () => performance.now(),
    random: () => 0,
    isLeaving: () => false,
    candidates: () => list,
    serviceRule: () => undefined,
  });
}

async function listen(
  listener: Parameters<typeof createServer>[1],
): Promise<{ address: string; close: () => void }> {
  const server = createServer(listener!);
  await new Promise<void>((resolve) =>
    server.listen(0, "127.0.0.1", () => resolve())
  );
  const { port } = server.address() as AddressInfo;
  const close = () => {
    server.close();
    server.closeAllConnections();
  };
  return { address: `127.0.0.1:${port}`, close };
}

function outcomeOf(relay: Relay, retries: number): Promise<string> {
  return new Promise((resolve) => {
    forward(relay, {
      context: {
        requestId: "r",
        attemptId: "r",
        deadlineAt: relay.clock() + 60_000,
        importance: "normal",
        department: "none",
        retries: 0,
        token: null,
      },
      service: "inventory",
      rule: findRule(undefined, { method: "GET", path: "/stock" }),
      method: "GET",
      path: "/inventory/stock",
      headers: {},
      body: null,
      account: openAccount(retries),
      hasCallerToken: false,
      binding: null,
      onDownstreamOverload: () => {},
    }, {
      start: ({ status }) => resolve(`answered ${status}`),
      data: () => true,
      end: () => {},
      fail: (outcome) =>
        resolve(outcome.kind === "answered" ? "" : outcome.reason),
    });
  });
}

test("an attempt that could not connect returns its retries", async (t) => {
  const live = await listen((request, response) => {
    response.writeHead(200, {
      "nutmegmoor-attempt": request.headers["nutmegmoor-attempt"]!,
      "nutmegmoor-outcome": "answered",
      "content-length": "0",
    }).end();
  });
  const relay = relayFor([UNREACHABLE_ADDRESS, live.address]);
  t.is(await outcomeOf(relay, 1), "answered 200");
  t.is(await outcomeOf(relayFor([UNREACHABLE_ADDRESS]), 0), "connect-failed");
  for (const pool of relay.peerPools.values()) pool.destroy();
  live.close();
});

test("a rejection by a peer echoes the attempt id", async (t) => {
  const relay = relayFor([]);
  const peer = await listen((...pair) => handlePeer(relay, ...pair));
  const response = await fetch(`http://${peer.address}/inventory/stock`, {
    headers: { "nutmegmoor-attempt": "a.1", "nutmegmoor-deadline": "x" },
  });
  t.is(response.headers.get("nutmegmoor-attempt"), "a.1");
  t.is(response.headers.get("nutmegmoor-reason"), "bad-request");
  peer.close();
});

// Guards against a call that waits without limit while earlier token requests
// occupy all connections.
test("a token request that waits for a connection times out", async (t) => {
  const paths: (string | undefined)[] = [];
  const { address, close } = await listen((request) => {
    paths.push(request.url);
  });
  const relay = relayFor([address]);
  const pool = tokenPool(relay, address);
  const held = [1, 2].map(() =>
    t.throwsAsync(pool.request({ method: "GET", path: "/held" }))
  );
  t.deepEqual(await obtainTokens(relay, { address, count: 1 }), []);
  t.deepEqual(paths, ["/held", "/held"]);
  await pool.destroy();
  await Promise.all(held);
  close();
});
