import test from "ava";
import { mkdtempSync, readFileSync, rmSync, statSync } from "node:fs";
import { createServer, type RequestListener } from "node:http";
import type { AddressInfo } from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { count } from "../metrics/count.ts";
import { createMetrics } from "../metrics/create_metrics.ts";
import { record } from "../metrics/record.ts";
import { takeSnapshot } from "../metrics/take_snapshot.ts";
import type { RulesHandlers } from "./rules_handlers.ts";
import { run } from "./run.ts";
import { signingHandlers } from "./signing_handlers.ts";

const SAMPLE = "settings/viti-levu.ini";

async function runCommand(args: string[], rules: Partial<RulesHandlers> = {}) {
  let [out, err] = ["", ""];
  const status = await run(args, {
    out: (text) => out += text,
    err: (text) => err += text,
    rules: { ...signingHandlers, ...rules },
    startDaemon: () => Promise.reject(new Error("port in use")),
    onEndSignal: () => {},
  });
  return { status, out, err };
}

async function listen(listener: RequestListener) {
  const server = createServer(listener);
  await new Promise<void>((resolve) =>
    server.listen(0, "127.0.0.1", () => resolve())
  );
  const { port } = server.address() as AddressInfo;
  return { daemon: `127.0.0.1:${port}`, close: () => server.close() };
}

function serveJson(bodies: Record<string, unknown>): RequestListener {
  return (request, response) => {
    const body = bodies[`${request.method} ${request.url}`];
    response.writeHead(body === undefined ? 404 : 200).end(
      JSON.stringify(body),
    );
  };
}

test("invalid arguments are reported with status 2", async (t) => {
  const cases: [string[], RegExp][] = [
    [[], /<command>: found nothing/],
    [["nope"], /Argument nope: found an unknown name/],
    [["status", "--bogus"], /Argument bogus: found an unknown name/],
    [
      ["status", "--daemon", "x"],
      /--daemon: found "x", expected one HOST:PORT/,
    ],
    [["status", "--daemon"], /--daemon: found no value/],
    [["check-settings"], /<file>: found nothing/],
    [["daemon"], /--settings: found nothing/],
    [["rules", "submit", "x"], /--department: found nothing/],
    [["metrics", "--json", "--prometheus"], /either --json or --prometheus/],
  ];
  for (const [args, message] of cases) {
    const { status, out, err } = await runCommand(args);
    t.is(status, 2, args.join(" "));
    t.regex(err, message);
    t.is(out, "");
  }
});

test("help and version go to standard output with status 0", async (t) => {
  const help = await runCommand(["--help"]);
  t.regex(help.out, /check-settings <file>/);
  t.is(help.status, 0);
  const { version } = JSON.parse(readFileSync("package.json", "utf8"));
  t.is((await runCommand(["--version"])).out, `${version}\n`);
});

test("invalid settings fail with status 2 before the daemon starts", async (t) => {
  t.is((await runCommand(["check-settings", SAMPLE])).status, 0);
  const bad = await runCommand(["check-settings", "--json", "package.json"]);
  t.is(bad.status, 2);
  t.false(JSON.parse(bad.out).ok);
  const daemon = await runCommand(["daemon", "--settings", "package.json"]);
  t.is(daemon.status, 2);
  t.regex(daemon.err, /^package.json:1: /m);
});

test("an unreachable daemon is reported with status 3", async (t) => {
  const { daemon, close } = await listen(() => {});
  close();
  t.is((await runCommand(["status", "--daemon", daemon])).status, 3);
  t.is((await runCommand(["drain", "--daemon", daemon])).status, 3);
});

test("a drain whose response is lost has an unknown outcome", async (t) => {
  const { daemon, close } = await listen((request) => request.socket.destroy());
  t.is((await runCommand(["drain", "--daemon", daemon])).status, 5);
  t.is((await runCommand(["status", "--daemon", daemon])).status, 3);
  close();
});

test("rejected requests and malformed responses have distinct statuses", async (t) => {
  const { daemon, close } = await listen((request, response) => {
    response.writeHead(request.method === "POST" ? 409 : 200).end("no JSON");
  });
  t.is((await runCommand(["drain", "--daemon", daemon])).status, 6);
  t.is((await runCommand(["members", "--daemon", daemon])).status, 7);
  close();
});

test("tables are aligned and free of control characters", async (t) => {
  const member = { state: "up", incarnation: 1, sequence: 2 };
  const { daemon, close } = await listen(serveJson({
    "GET /-/members": {
      members: [
        { ...member, address: "1", dataCentre: "a\u001b[2J", server: null },
        {
          ...member,
          address: "127.0.0.1:7001",
          dataCentre: "suva",
          reachable: false,
          server: { service: "bookings", slots: 30 },
        },
      ],
    },
  }));
  const { out, status } = await runCommand(["members", "--daemon", daemon]);
  close();
  t.is(status, 0);
  t.false(out.includes("\u001b"));
  const columns = out.trimEnd().split("\n").slice(1).map((line) =>
    line.search(/up/)
  );
  t.is(columns[0], columns[1]);
  t.regex(out, /up, unreachable +bookings +30/);
});

test("each command requests its documented route and prints the whole response", async (t) => {
  const metrics = createMetrics();
  count(metrics, "calls", { service: "bookings" });
  record(metrics, "hop_ms", { service: "bookings" }, 2);
  const bodies = {
    "GET /-/status": { phase: "serving", server: { slots: 30 } },
    "POST /-/drain": { phase: "draining" },
    "GET /-/members": { members: [] },
    "GET /-/metrics": takeSnapshot(metrics),
    "GET /-/rules": {
      head: { sequence: 7, digest: "d7", changeId: "c7" },
      sections: [],
      extra: 1,
    },
  };
  const { daemon, close } = await listen(serveJson(bodies));
  const cases: [keyof typeof bodies, string[], RegExp][] = [
    ["GET /-/status", ["status"], /server.slots +30\n/],
    ["POST /-/drain", ["drain"], /phase +draining\n/],
    ["GET /-/members", ["members"], /^ADDRESS/],
    ["GET /-/metrics", ["metrics"], /hop_ms +service=bookings +1 +2.0/],
    ["GET /-/rules", ["rules", "show"], /Sequence 7, change c7, digest d7/],
  ];
  for (const [route, args, table] of cases) {
    const human = await runCommand([...args, "--daemon", daemon]);
    t.regex(human.out, table);
    const json = await runCommand([...args, "--daemon", daemon, "--json"]);
    t.deepEqual(JSON.parse(json.out), bodies[route]);
  }
  const text = await runCommand([
    "metrics",
    "--prometheus",
    "--daemon",
    daemon,
  ]);
  t.regex(text.out, /nutmegmoor_calls_total{service="bookings"} 1/);
  close();
});

test("verify distinguishes a difference from a daemon that does not answer", async (t) => {
  const { daemon, close } = await listen(serveJson({
    "GET /-/rules?department=bakery": { sequence: 1 },
    "GET /-/rules?scope=members&department=bakery": {
      daemons: [{ address: "a", rules: {} }, {
        address: "b",
        error: "timeout",
      }],
    },
  }));
  const publicKey = ["--public-key", "A".repeat(44)];
  const verify = (differs: boolean, ...more: string[]) =>
    runCommand(
      [
        "rules",
        "verify",
        SAMPLE,
        "--department",
        "bakery",
        ...publicKey,
        ...more,
      ],
      {
        verify: ({ daemons }) =>
          Promise.resolve({
            kind: "compared",
            daemons: daemons.map(({ address }) => ({
              address,
              differences: differs
                ? [{ section: "bakery", agreed: "2", inEffect: "1" }]
                : [],
            })),
          }),
      },
    );
  t.is((await verify(false, "--daemon", daemon)).status, 0);
  t.is((await verify(true, "--daemon", daemon)).status, 1);
  const members = await verify(false, "--daemon", daemon, "--members");
  t.is(members.status, 3);
  t.regex(members.err, /Daemon b could not be asked: timeout/);
  const both = ["--daemon", daemon, "--daemon", "127.0.0.1:1", "--json"];
  const json = await verify(true, ...both);
  t.is(json.status, 1);
  t.is(JSON.parse(json.out).unanswered.length, 1);
  t.is((await verify(true, "--daemon", "127.0.0.1:1")).status, 3);
  close();
});

test("each result of a submit has its own exit status", async (t) => {
  const change = { changeId: "c1", section: "bakery", version: 2 };
  const cases = [
    [{ kind: "accepted", ...change }, 0],
    [{ kind: "unchanged", ...change }, 9],
    [{ kind: "pending", ...change, digest: "d", missing: ["sales"] }, 10],
    [{ kind: "conflict", ...change, winner: "c0" }, 4],
    [{ kind: "invalid", issues: [] }, 2],
    [{ kind: "rejected", changeId: "c1", issues: [] }, 11],
    [{ kind: "unreachable", message: "refused" }, 3],
    [{ kind: "unavailable", changeId: "c1", message: "store down" }, 6],
    [{ kind: "unknown", changeId: "c1", message: "time\u001b[2Jout" }, 5],
  ] as const;
  const args = ["--department", "bakery", "--key", SAMPLE];
  for (const [result, expected] of cases) {
    const submit = () => Promise.resolve(result as never);
    const submitted = await runCommand(
      ["rules", "submit", SAMPLE, ...args],
      { submit },
    );
    t.is(submitted.status, expected, result.kind);
    t.false(`${submitted.out}${submitted.err}`.includes("\u001b"));
  }
});

test("keygen never prints the private key or overwrites a file", async (t) => {
  const directory = mkdtempSync(join(tmpdir(), "nutmegmoor-"));
  const file = join(directory, "key.pem");
  const first = await runCommand(["rules", "keygen", "--out", file]);
  t.is(first.status, 0);
  t.regex(first.out, /^public-key = [\w+/]{59}=\n$/);
  t.is(statSync(file).mode & 0o777, 0o600);
  const pem = readFileSync(file, "utf8");
  t.is((await runCommand(["rules", "keygen", "--out", file])).status, 2);
  t.is(readFileSync(file, "utf8"), pem);
  rmSync(directory, { recursive: true });
});
