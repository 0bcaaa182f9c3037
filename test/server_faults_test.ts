import test from "ava";
import { sendTo } from "../platform/standin/send_to.ts";
import { smallSite } from "./small_site.ts";
import { withSite } from "./with_site.ts";

const { isComplete, runsOf } = smallSite;
// One server of each service, so that no other one hides the fault.
const VMS = [
  { zone: "a", service: "front" },
  { zone: "a", service: "deep" },
];
const REQUESTS = 40;
// More bytes than the head of a response has.
const MAX_HEAD_BYTES = 200;
const REFUSAL_STATUSES = [408, 421, 429, 503];

for (
  const [at, fault] of (["late-refusal", "anonymous-refusal"] as const)
    .entries()
) {
  test.serial(`${fault} on a kept connection isn't taken for the response`, async (t) => {
    await withSite({ net: 74 + at, vms: VMS }, async (site) => {
      const [vm] = site.vms;
      vm!.app.fault = fault;
      vm!.app.faultyPath = "/once/";
      const statuses: number[] = [];
      for (let i = 0; i < REQUESTS; i++) {
        const response = await sendTo(vm!.ip, "front.example", "/once/x", {
          method: "POST",
        });
        statuses.push(response.status);
        const runs = runsOf(site, response.id);
        t.true(runs <= 1, `${runs} runs`);
        if (response.status === 200) t.true(isComplete(response, "front"));
        const refused = REFUSAL_STATUSES.includes(response.status);
        t.false(refused && runs > 0, `${response.status} after a run`);
      }
      // The fault was met: each second connection at least has been kept.
      t.true(statuses.includes(200));
      t.is(statuses.includes(502), fault === "anonymous-refusal");
    });
  });
}

test.serial("a head that is cut never becomes a success", async (t) => {
  await withSite({ net: 76, vms: VMS }, async (site) => {
    const [vm] = site.vms;
    vm!.app.fault = "cut-head";
    vm!.app.faultyPath = "cut=";
    for (let bytes = 0; bytes < MAX_HEAD_BYTES; bytes++) {
      for (const how of ["", "r", "&unframed", "r&unframed"]) {
        for (const kind of ["safe", "once"]) {
          const path = `/${kind}/?cut=${bytes}${how}`;
          const response = await sendTo(vm!.ip, "front.example", path);
          t.is(response.status, 502, path);
          t.is(response.body, "", path);
          const runs = runsOf(site, response.id);
          t.true(kind === "safe" || runs <= 1, path);
        }
        // A complete response in between leaves a connection that is kept.
        await sendTo(vm!.ip, "front.example", "/safe/");
      }
    }
    t.true(
      isComplete(await sendTo(vm!.ip, "front.example", "/safe/"), "front"),
    );
  });
});
