import test from "ava";
import { readFileSync } from "node:fs";
import type { AppFault } from "../platform/standin/app_server.ts";
import { ask } from "../platform/standin/ask.ts";
import type { Site } from "../platform/standin/site.ts";
import { smallSite } from "./small_site.ts";
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
// The deadline of the requests, and what a busy machine adds.
const MOST_MS = 3_000 + 1_500;
// Each test runs its site in a loopback network of its own.
let net = 210;

const { whole, runsOf } = smallSite;
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
              const answer = await ask(
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
            during(() => ask(vm!.ip, `${service}.example`, "/once/", options))
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
        t.true(app.endless.size >= AT_ONCE);
        for (const { bytesWritten } of app.endless.values()) {
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
