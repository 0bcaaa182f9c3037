import test from "ava";
import { readFileSync } from "node:fs";
import { request } from "node:http";
import { connect } from "node:net";
import type { AppFault } from "../platform/standin/app_server.ts";
import { sendTo } from "../platform/standin/send_to.ts";
import type { Site } from "../platform/standin/site.ts";
import { smallSite } from "./small_site.ts";
import { until } from "./until.ts";
import { withSite } from "./with_site.ts";

// Node.js options as in deploy/system.toml.
const RUNTIME = [
  "--single-threaded-gc",
  "--max-old-space-size=160",
  "--max-semi-space-size=4",
];
const MEMORY_MB = 250;
const MB = 1_000_000;
// A response may have up to an eighth of the memory; the socket buffers of its
// connection hold some more.
const MAX_RESPONSE_BYTES = MEMORY_MB * MB / 8 + 12 * MB;
const CONCURRENCY = 40;
const DURATION_MS = 1_500;
const PAUSE_MS = 50;
// Tolerance for delays on a busy machine.
const SLACK_MS = 1_500;
const MAX_MS = 3_000 + SLACK_MS;
// Second octet of the loopback addresses; each test's site uses a different one.
let net = 110;

const { isComplete, runsOf } = smallSite;
const VMS = [
  { zone: "a", service: "front", slots: 64 },
  { zone: "a", service: "deep" },
];
const FAULTS: AppFault[] = [
  "endless-blank-lines",
  "endless-head",
  "endless-interim",
  "endless-late",
  "endless-small-chunks",
  "endless-chunks",
  "endless-trailers",
  "endless-body",
];

/** Peak resident memory of a process, in MB. */
function peakMb(pid: number): number {
  const status = readFileSync(`/proc/${pid}/status`, "latin1");
  return Number(/VmHWM:\s+(\d+) kB/.exec(status)![1]) * 1_024 / MB;
}

/** Log lines of the daemons about a request. */
function linesOn({ vms }: Site, id: string): string {
  return vms.flatMap(({ lines }) =>
    lines.filter((line) => line.includes(`id=${id} `))
  ).join("\n");
}

// An endless response must not keep its daemon busy or exhaust its memory.
for (const fault of FAULTS) {
  test.serial(`${fault} leaves the daemon and other requests alone`, async (t) => {
    await withSite(
      { net: net++, vms: VMS, nodeArguments: RUNTIME },
      async (site) => {
        const [vm, neighbour] = site.vms;
        const { app } = vm!;
        app.fault = fault;
        app.faultyPath = "/endless";
        const endsAt = performance.now() + DURATION_MS;
        const during = async <Value>(one: () => Promise<Value>) => {
          const all: Value[] = [];
          while (performance.now() < endsAt) {
            all.push(await one());
            await new Promise((resolve) => setTimeout(resolve, PAUSE_MS));
          }
          return all;
        };
        const options = { method: "POST", body: "a" };
        const endless = Promise.all(
          Array.from({ length: CONCURRENCY }, (_, at) =>
            during(async () => {
              const { ip } = at % 2 === 0 ? vm! : neighbour!;
              const startedAt = performance.now();
              const answer = await sendTo(
                ip,
                "front.example",
                "/once/endless",
                options,
              );
              return { ...answer, ms: performance.now() - startedAt };
            })),
        );
        const served = await Promise.all(
          ["front", "deep"].map((service) =>
            during(() =>
              sendTo(vm!.ip, `${service}.example`, "/once/", options)
            )
          ),
        );
        for (const [at, service] of ["front", "deep"].entries()) {
          t.true(served[at]!.length > 1);
          for (const answer of served[at]!) {
            t.true(isComplete(answer, service), linesOn(site, answer.id));
          }
        }
        for (const { id, status, ms } of (await endless).flat()) {
          // Either not run, or run without a valid response.
          t.true(
            status === 503 ? runsOf(site, id) === 0 : status === 502,
            linesOn(site, id),
          );
          t.true(ms < MAX_MS, `${ms} ms`);
        }
        t.true(app.endlessSockets.size >= CONCURRENCY);
        for (const { bytesWritten } of app.endlessSockets.values()) {
          t.true(bytesWritten < MAX_RESPONSE_BYTES, `${bytesWritten} bytes`);
        }
        for (const { daemon } of site.vms) {
          t.is(daemon.exitCode, null);
          t.is(daemon.signalCode, null);
          const mb = peakMb(daemon.pid!);
          t.log(`${Math.round(mb)} MB at most`);
          t.true(mb < MEMORY_MB, `${mb} MB`);
        }
      },
    );
  });
}

// A request that must run at most once is not cancelled when its client disconnects,
// so only the deadline ends it.
test.serial("a slow endless response is aborted at its deadline", async (t) => {
  await withSite({ net: net++, vms: VMS }, async (site) => {
    const [vm, neighbour] = site.vms;
    const { app } = vm!;
    app.fault = "endless-slow";
    app.faultyPath = "/endless";
    const deadlineMs = 1_500;
    const startedAt = performance.now();
    const asked = [vm!, neighbour!].map(({ ip }) =>
      sendTo(ip, "front.example", "/once/endless", {
        method: "POST",
        deadlineMs,
      })
    );
    const left = request({
      host: neighbour!.ip,
      port: 8304,
      method: "POST",
      path: "/once/endless",
      headers: {
        Host: "front.example",
        "Request-Id": "left",
        "Request-Deadline": deadlineMs,
      },
    });
    left.on("error", () => {});
    left.end();
    await until("all run", () => app.endlessSockets.size === 3);
    left.destroy();
    for (const { status } of await Promise.all(asked)) t.is(status, 504);
    await until(
      "closed",
      () =>
        [...app.endlessSockets.values()].every(({ destroyed }) => destroyed),
    );
    const ms = performance.now() - startedAt;
    t.true(ms < deadlineMs + SLACK_MS, `${ms} ms`);
    t.is(app.endlessSockets.size, 3);
    t.true(
      isComplete(await sendTo(vm!.ip, "front.example", "/once/"), "front"),
    );
  });
});

// Incomplete request bodies of many clients must not exhaust a daemon's memory.
test.serial("incomplete request bodies do not block other clients", async (t) => {
  await withSite(
    { net: net++, vms: VMS, nodeArguments: RUNTIME },
    async (site) => {
      const [vm] = site.vms;
      // The limit of the site is 1,000,000 bytes.
      const bytes = 900_000;
      const head = "POST /once/ HTTP/1.1\r\nHost: front.example\r\n" +
        `Request-Id: unfinished\r\nContent-Length: ${bytes}\r\n\r\n`;
      const body = Buffer.alloc(bytes - 1);
      const clients = Array.from({ length: 300 }, () => {
        const socket = connect(8304, vm!.ip);
        const client = { socket, text: "" };
        socket.setEncoding("latin1").on("data", (text) => client.text += text);
        socket.on("error", () => {});
        socket.write(head);
        socket.write(body);
        return client;
      });
      const endsAt = performance.now() + DURATION_MS;
      let served = 0;
      while (performance.now() < endsAt) {
        const answer = await sendTo(vm!.ip, "front.example", "/once/", {
          method: "POST",
          body: "a".repeat(10_000),
        });
        t.true(isComplete(answer, "front"), linesOn(site, answer.id));
        served++;
        await new Promise((resolve) => setTimeout(resolve, PAUSE_MS));
      }
      t.true(served > 1);
      t.is(vm!.daemon.exitCode, null);
      const mb = peakMb(vm!.daemon.pid!);
      t.log(`${Math.round(mb)} MB at most`);
      t.true(mb < MEMORY_MB, `${mb} MB`);
      const refused = clients.filter(({ text }) => text !== "");
      t.true(refused.length > 0);
      for (const { text } of refused) {
        t.regex(text, /^HTTP\/1\.1 503 .*\r\nRetry-After: /);
      }
      t.is(runsOf(site, "unfinished"), 0);
      for (const { socket } of clients) socket.destroy();
    },
  );
});
