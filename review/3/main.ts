import process from "node:process";
import { startProxy } from "../../soak/start_proxy.ts";
import { startAppServer } from "../../platform/standin/start_app_server.ts";
import { configuration } from "../support/configuration.ts";
import { runCase } from "../support/run_case.ts";
import { sendRequest } from "../support/send_request.ts";
import { PORTS, startDeployment } from "../support/start_deployment.ts";

// The bound `configApplyS` of the small deployments.
const CONFIG_APPLY_MS = 2_000;
// The length of the store cuts of the small deployments.
const CUT_MS = 5_500;
const HEARTBEAT_MS = 1_500;
// Time between the changes, and between the first one and the cut.
const GAP_MS = Number(process.env.GAP_MS ?? 200);
const CUT_AFTER_MS = 120;
// Two services on machines of one zone; the cuts reach the first two machines.
const MACHINES = ["old", "new", "old", "new"].map((service) => ({
  zone: "zone",
  service,
}));
const CUT_MACHINES = [0, 1];

await runCase(async ({ record, trouble, atEnd }) => {
  const storeHost = (network: string, index: number) =>
    `${network}.${151 + index}`;
  const deployment = await startDeployment({
    machines: MACHINES,
    memoryMb: 350,
    storeHost,
  });
  atEnd(deployment.stop);
  const { network, machines } = deployment;
  const proxies = await Promise.all(
    machines.map((_machine, index) =>
      startProxy({ host: storeHost(network, index), port: PORTS.store }, {
        host: `${network}.200`,
        port: PORTS.store,
      })
    ),
  );
  const apps = await Promise.all(
    machines.map(({ name, ip, service }) =>
      startAppServer({
        id: `i-${name}`,
        service,
        listen: { host: ip, port: PORTS.app },
        control: { host: ip, port: PORTS.control },
        outbound: { host: ip, port: PORTS.outbound },
        slots: 36,
      })
    ),
  );
  /** Writes a version; the store answers the operator at once. */
  const change = (version: number, service: string) => {
    deployment.configure(configuration(version, {
      services: ["old", "new"],
      routes: [{ prefix: "/moved/", service }, {
        prefix: `/version-${version}/`,
        service: "old",
      }],
    }));
    record(`r${version} acknowledged: /moved/ goes to service ${service}`);
    return performance.now();
  };
  change(1, "old");
  for (const machine of machines) machine.start();
  setInterval(() => apps.forEach((app) => app.sendHeartbeat()), HEARTBEAT_MS);
  for (const app of apps) await app.sendHeartbeat();
  await deployment.ready();
  await delay(6_000);

  change(2, "old");
  await delay(CUT_AFTER_MS);
  if (trouble) {
    for (const index of CUT_MACHINES) proxies[index]!.dropped = "both";
    record("the first two machines are cut off from the store");
  }
  await delay(GAP_MS - CUT_AFTER_MS);
  const acknowledgedAt = change(3, "new");
  const late: string[] = [];
  let newest = 0;
  // Only the daemons that the cuts don't touch are asked.
  const asked = machines.filter((_machine, index) =>
    !CUT_MACHINES.includes(index)
  );
  while (performance.now() < acknowledgedAt + CUT_MS) {
    await Promise.all(asked.map(async ({ name, ip }) => {
      const afterMs = performance.now() - acknowledgedAt;
      const { id, status, signed } = await sendRequest(ip, "/moved/x");
      const ranBy = apps.find((app) => app.runs.has(id))?.service ?? "none";
      const isLate = afterMs > CONFIG_APPLY_MS && ranBy === "old";
      record(
        `${id} sent to ${name} ${Math.round(afterMs)} ms after r3, ` +
          `answered ${status}${signed ? "" : " unsigned"}, run by ${ranBy}` +
          (isLate ? "  <- only an older version allows this" : ""),
      );
      if (isLate) late.push(id);
      if (ranBy === "old") newest = Math.max(newest, afterMs);
    }));
    await delay(25);
  }
  record(
    `${late.length} requests run by the old service later than ` +
      `${CONFIG_APPLY_MS} ms after r3, the last after ${Math.round(newest)} ms`,
  );
  for (const proxy of proxies) proxy.dropped = "none";
  return late.length > 0;
});

function delay(ms: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, ms));
}
