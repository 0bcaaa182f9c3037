import { Buffer } from "node:buffer";
import { once } from "node:events";
import { createServer } from "node:http";
import type { AddressInfo } from "node:net";
import test from "ava";
import { Agent, request } from "undici";
import { z } from "zod";
import { createTRPCClient, httpLink } from "@trpc/client";
import { seededRandom } from "../core/seeded_random.ts";
import { createControlFetch } from "../security/create_control_fetch.ts";
import { createControlHandler } from "../security/create_control_handler.ts";
import { createVerifier } from "../security/create_verifier.ts";
import { createSigner } from "../security/create_signer.ts";
import { formatCredential } from "../security/format_credential.ts";
import { issueCredential } from "../security/issue_credential.ts";
import { MAX_CONTROL_BYTES } from "../security/max_control_bytes.ts";
import { controlTrpc } from "./control_trpc.ts";
import { createControlClient } from "./create_control_client.ts";
import { createControlRouter } from "./create_control_router.ts";
import { createDirectory } from "./create_directory.ts";
import { createGossiper } from "./create_gossiper.ts";
import { markLeaving } from "./mark_leaving.ts";
import { merge } from "./merge.ts";

const KEY = "k".repeat(32);
const RULES = { sequence: 7, digest: "d" };

const otherRouters = {
  rules: controlTrpc.router({
    echo: controlTrpc.procedure.input(z.string()).query(({ input, ctx }) =>
      `${ctx.sender} ${input}`
    ),
  }),
};

/** Starts the control server and client of a daemon on a free loopback port. */
async function startDaemon(
  { key = KEY, instance = "i", seeds = [] as string[] } = {},
) {
  const server = createServer().listen(0, "127.0.0.1");
  await once(server, "listening");
  const { port } = server.address() as AddressInfo;
  const address = `127.0.0.1:${port}`;
  const directory = createDirectory(
    { address, dataCentre: "suva", instance },
    0,
  );
  const guard = createVerifier({ key, address, instance });
  const signer = createSigner({ key, address, instance });
  const dispatcher = new Agent();
  const fetch = createControlFetch({
    signer,
    dispatcher,
    timeoutMs: 30_000,
    expectedEpoch: () => undefined,
  });
  const client = createControlClient({ fetch, slowFetch: fetch });
  const receivedRules: unknown[] = [];
  const parts = {
    directory,
    now: () => 1,
    rules: () => RULES,
    onPeerRules: (peer: unknown) => void receivedRules.push(peer),
    probe: client.probe,
  };
  const router = createControlRouter(parts, otherRouters);
  const lines: string[] = [];
  const log = (event: string, fields: Record<string, unknown>) =>
    void lines.push(`${event} ${fields.reason}`);
  const handler = createControlHandler({ verifier: guard, router, log });
  server.on("request", handler);
  const gossiper = createGossiper({
    ...parts,
    client,
    random: seededRandom(1),
    log,
    seeds: () => seeds,
  });
  const stop = async () => {
    await dispatcher.destroy();
    server.closeAllConnections();
    server.close();
  };
  return {
    address,
    directory,
    guard,
    signer,
    fetch,
    client,
    gossiper,
    receivedRules,
    lines,
    stop,
  };
}

type Daemon = Awaited<ReturnType<typeof startDaemon>>;

/** Sends a raw message, with a credential of `by` unless a header is given. */
async function sendRaw(
  by: Daemon,
  to: Daemon,
  { body, path = "/-/rpc/push", header }: {
    body: string;
    path?: string;
    header?: string;
  },
) {
  const credential = issueCredential(by.signer, {
    method: "POST",
    path,
    recipient: to.address,
    expectedEpoch: "i.0",
    body: Buffer.from(body),
  });
  const text = header ?? formatCredential(credential);
  const response = await request(`http://${to.address}${path}`, {
    method: "POST",
    headers: {
      "content-type": "application/json",
      ...(text !== "" && { "nutmegmoor-control": text }),
    },
    body,
  });
  await response.body.dump();
  return { status: response.statusCode, header: text };
}

test("new daemon joins through a seed; dead one is suspected after indirect probes", async (t) => {
  const one = await startDaemon();
  const two = await startDaemon({ seeds: [one.address] });
  const three = await startDaemon({ seeds: [one.address] });
  await two.gossiper.round();
  await three.gossiper.round();
  t.deepEqual(three.directory.digest, one.directory.digest);
  t.is(three.directory.members.size, 3);
  t.deepEqual(two.receivedRules[0], { address: one.address, rules: RULES });
  markLeaving(two.directory, 2);
  await two.gossiper.pushOwnEntry();
  t.is(one.directory.members.get(two.address)!.entry.state, "leaving");
  const reply = await three.client.indirectProbe(one.address, two.address);
  t.is(reply, "reached");
  await two.stop();
  t.is(await three.client.indirectProbe(one.address, two.address), "unreached");
  t.is(await three.client.indirectProbe(two.address, one.address), "silent");
  for (let rounds = 0; rounds < 20; rounds++) await three.gossiper.round();
  t.is(three.directory.members.get(two.address)!.verdict, 1);
  await Promise.all([one.stop(), three.stop()]);
});

test("procedure of another module receives the authenticated sender", async (t) => {
  const [one, two] = [await startDaemon(), await startDaemon()];
  const client = createTRPCClient<
    ReturnType<typeof createControlRouter<typeof otherRouters>>
  >({
    links: [httpLink({
      url: `http://${one.address}/-/rpc`,
      fetch: two.fetch as typeof fetch,
    })],
  });
  t.is(await client.rules.echo.query("hello"), `${two.address} hello`);
  await Promise.all([one.stop(), two.stop()]);
});

test("forged, replayed, oversized and malformed messages are rejected", async (t) => {
  const [one, two] = [await startDaemon(), await startDaemon()];
  const reports = [["a:1", "suva", 1, 0, "up", "x", null, 0]];
  const body = JSON.stringify({ reports });
  const first = await sendRaw(two, one, { body });
  t.is(first.status, 200);
  const { header } = first;
  const statuses = [
    await sendRaw(two, one, { body, header }),
    await sendRaw(two, one, { body: body.replace("a:1", "b:1"), header }),
    await sendRaw(two, one, { body, header: "" }),
    await sendRaw(two, one, { body, header: "a b c" }),
    await sendRaw(two, one, { body: "x".repeat(MAX_CONTROL_BYTES + 1) }),
    await sendRaw(two, one, { body: JSON.stringify({ reports: [["c:1"]] }) }),
    await sendRaw(two, one, { body: "{" }),
    await sendRaw(two, one, { body, path: "/-/rpc/none" }),
  ].map(({ status }) => status);
  t.deepEqual(statuses, [401, 401, 401, 400, 413, 400, 400, 404]);
  t.deepEqual(one.guard.rejected, {
    unsigned: 1,
    forged: 1,
    "wrong-epoch": 0,
    replayed: 1,
    oversized: 1,
    malformed: 4,
  });
  t.deepEqual([...one.directory.members.keys()], [one.address, "a:1"]);
  t.is(one.lines.filter((line) => line.includes("replayed")).length, 1);
  t.is(one.lines.length, 8);
  await Promise.all([one.stop(), two.stop()]);
});

test("messages of a daemon with another key are rejected", async (t) => {
  const one = await startDaemon();
  const two = await startDaemon({ key: "z".repeat(32), seeds: [one.address] });
  await two.gossiper.round();
  t.is(one.directory.members.size, 1);
  t.is(two.directory.members.size, 1);
  t.is(one.guard.rejected.forged, 2);
  await Promise.all([one.stop(), two.stop()]);
});

test("response without the MAC of its request is ignored", async (t) => {
  const answer = JSON.stringify({ result: { data: { reached: true } } });
  const server = createServer((_, response) =>
    response.writeHead(200, { "nutmegmoor-mac": "A".repeat(43) }).end(answer)
  ).listen(0, "127.0.0.1");
  await once(server, "listening");
  const { port } = server.address() as AddressInfo;
  const one = await startDaemon();
  t.is(await one.client.indirectProbe(`127.0.0.1:${port}`, "a:1"), "silent");
  t.false(await one.client.probe(`127.0.0.1:${port}`));
  server.close();
  server.closeAllConnections();
  await one.stop();
});

test("indirect probe does not probe an address that is not a member", async (t) => {
  const [one, two, three] = [
    await startDaemon(),
    await startDaemon(),
    await startDaemon(),
  ];
  const probe = () => two.client.indirectProbe(one.address, three.address);
  t.is(await probe(), "unreached");
  const { entry } = three.directory.members.get(three.address)!;
  merge(one.directory, [entry], 1);
  t.is(await probe(), "reached");
  await Promise.all([one.stop(), two.stop(), three.stop()]);
});
