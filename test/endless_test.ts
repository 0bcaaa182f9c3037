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

// As in deploy/system.toml.
const RUNTIME = [
  "--single-threaded-gc",
  "--max-old-space-size=160",
  "--max-semi-space-size=4",
];
const MEMORY_MB = 250;
const MB = 1_000_000;
// A response may take an eighth of the memory on the wire; the buffers of its
// connection hold some more.
const MOST_RESPONSE_BYTES = MEMORY_MB * MB / 8 + 12 * MB;
const AT_ONCE = 40;
const LASTS_MS = 1_500;
const PAUSE_MS = 50;
// What a busy machine adds to a deadline.
const SLACK_MS = 1_500;
const MOST_MS = 3_000 + SLACK_MS;
// Each test runs its site in a loopback network of its own.
let net = 110;

const { isComplete: whole, runsOf } = smallSite;
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

/** Highest memory that a process has had, in MB. */
function peakMb(pid: number): number {
  const status = readFileSync(`/proc/${pid}/status`, "latin1");
  return Number(/VmHWM:\s+(\d+) kB/.exec(status)![1]) * 1_024 / MB;
}

/** What the daemons wrote about a request. */
function linesOn({ vms }: Site, id: string): string {
  return vms.flatMap(({ lines }) =>
    lines.filter((line) => line.includes(`id=${id} `))
  ).join("\n");
}

// Bytes of a server without end kept its daemon busy or filled its memory.
for (const fault of FAULTS) {
  test.serial(`${fault} leaves the daemon and other requests alone`, async (t) => {
    await withSite(
      { net: net++, vms: VMS, nodeArguments: RUNTIME },
      async (site) => {
        const [vm, neighbour] = site.vms;
        const { app } = vm!;
        app.fault = fault;
        app.faultyPath = "/endless";
        const endsAt = performance.now() + LASTS_MS;
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
          Array.from({ length: AT_ONCE }, (_, at) =>
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
            t.true(whole(answer, service), linesOn(site, answer.id));
          }
        }
        for (const { id, status, ms } of (await endless).flat()) {
          // Not run, or run without a proper response.
          t.true(
            status === 503 ? runsOf(site, id) === 0 : status === 502,
            linesOn(site, id),
          );
          t.true(ms < MOST_MS, `${ms} ms`);
        }
        t.true(app.endlessSockets.size >= AT_ONCE);
        for (const { bytesWritten } of app.endlessSockets.values()) {
          t.true(bytesWritten < MOST_RESPONSE_BYTES, `${bytesWritten} bytes`);
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

// A request that runs once isn't cancelled when its client leaves.
test.serial("a slow response without end ends at its deadline", async (t) => {
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
    t.true(whole(await sendTo(vm!.ip, "front.example", "/once/"), "front"));
  });
});

// Unfinished bodies of many clients filled the memory of a daemon.
test.serial("clients that finish no body leave room for others", async (t) => {
  await withSite(
    { net: net++, vms: VMS, nodeArguments: RUNTIME },
    async (site) => {
      const [vm] = site.vms;
      // The operator allows bodies of a million bytes.
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
      const endsAt = performance.now() + LASTS_MS;
      let served = 0;
      while (performance.now() < endsAt) {
        const answer = await sendTo(vm!.ip, "front.example", "/once/", {
          method: "POST",
          body: "a".repeat(10_000),
        });
        t.true(whole(answer, "front"), linesOn(site, answer.id));
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
