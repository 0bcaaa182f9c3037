import test from "ava";
import { sendTo } from "../platform/standin/send_to.ts";
import type { Site, Vm } from "../platform/standin/site.ts";
import { scrape } from "./scrape.ts";
import { smallSite } from "./small_site.ts";
import { until } from "./until.ts";

const { run, serves, isComplete } = smallSite;
const TABLE = "nutmegmoor";
const NESTING = 50_000;
const NESTED = "[".repeat(NESTING) + "]".repeat(NESTING);
const MANY = 300;
const ODD_VALUES = [
  `{"address":"127.0.0.1:99999"}`,
  `{"address":"127.0.0.1:0"}`,
  `{"address":"999.0.0.1:7620"}`,
  `{"address":1e999}`,
  `{"address":${NESTED}}`,
  NESTED,
  `{"address":"127.0.0.1:7620","address":7}`,
  "",
  "\xff\xfe",
  "null",
  "[]",
  `{}`,
  `{"address":"${"1".repeat(100_000)}"}`,
];

function writeOddRows({ store }: Site, prefix: string): void {
  ODD_VALUES.forEach((value, at) =>
    store.put(TABLE, `daemon/${prefix}-${at}`, value)
  );
  for (let at = 0; at < MANY; at++) {
    store.put(TABLE, `daemon/${prefix}-many-${at}`, ODD_VALUES[0]!);
  }
  store.put(TABLE, "departure/vm-1", `{"id":${NESTED},"startedAt":1e999}`);
  store.put(TABLE, "servers", NESTED);
}

const isRunning = ({ daemon }: Vm) =>
  daemon.exitCode === null && daemon.signalCode === null;
const applies = (version: number) => ({ lines }: Vm) =>
  lines.some((line) =>
    line.includes(`event=configuration-in-force version=${version}`)
  );

/** Waits until all daemons serve and follow a change to `version`. */
async function settles({ vms }: Site, version: number): Promise<void> {
  await until(
    "all serve",
    async () => (await Promise.all(vms.map(serves))).every(Boolean),
  );
  await until("version in force", () => vms.every(applies(version)));
}

async function restart(vm: Vm): Promise<void> {
  const exited = new Promise((resolve) => vm.daemon.once("exit", resolve));
  vm.daemon.kill("SIGKILL");
  await exited;
  vm.restart();
}

test("odd rows of another writer end no daemon and hide none", async (t) => {
  await run(71, async (site) => {
    const { vms } = site;
    const [first] = vms;
    writeOddRows(site, "a");
    site.configure(2);
    await settles(site, 2);
    const starts = vms.map(({ starts }) => starts);
    for (const vm of vms) await restart(vm);
    site.configure(3);
    await settles(site, 3);
    // The configuration's row turns odd, and sound again.
    for (
      const odd of [NESTED, "1e999", "", `{"version":"r${"9".repeat(400)}"}`]
    ) {
      site.store.put("op", "config", odd);
    }
    site.configure(4);
    await settles(site, 4);
    t.deepEqual(vms.map(({ starts }) => starts), starts.map((n) => n + 1));
    t.true(vms.every(isRunning));
    const response = await sendTo(first!.ip, "deep.example", "/safe/x");
    t.true(isComplete(response, "deep"));
    t.true(
      first!.lines.some((line) =>
        line.includes("event=row-invalid") && line.includes("at=address")
      ),
    );
    t.true((await scrape(first!)).value("rows_invalid_total") > 0);
  });
});

test("odd rows that a whole site finds at its start are left out", async (t) => {
  await run(72, async (site) => {
    writeOddRows(site, "b");
    await Promise.all(site.vms.map(restart));
    site.configure(2);
    await settles(site, 2);
    t.true(site.vms.every(isRunning));
  });
});

// Such a daemon is told the addresses of all others by its peers.
test("a daemon that starts without the store gets no odd address", async (t) => {
  await run(73, async (site) => {
    const { vms, store } = site;
    const [first, ...others] = vms;
    writeOddRows(site, "c");
    for (const vm of others) await restart(vm);
    await settles(site, 1);
    store.fault = "silent";
    await restart(first!);
    await until("serves", () => serves(first!));
    store.fault = "none";
    site.configure(2);
    await settles(site, 2);
    t.true(vms.every(isRunning));
  });
});
