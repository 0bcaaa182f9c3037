import test from "ava";
import { createAdmission } from "./create_admission.ts";
import { noteRoot } from "./note_root.ts";
import { refusedShare } from "./refused_share.ts";
import { updateAdmission } from "./update_admission.ts";

const STEP_MS = 100;

/** Roots that share a deep service, and one that doesn't use it. */
function roots(now: number, admission = createAdmission(now)) {
  const deep = (slotMs: number) => [{ service: "deep", slotMs }];
  noteRoot(admission, "cheap", 1, deep(88), now);
  noteRoot(admission, "dear", 2, deep(440), now);
  noteRoot(admission, "paid", 0, deep(440), now);
  noteRoot(admission, "apart", 2, [{ service: "other", slotMs: 500 }], now);
  return admission;
}

function overload(load: number, forMs: number) {
  const admission = roots(0);
  for (let now = STEP_MS; now <= forMs; now += STEP_MS) {
    roots(now, admission);
    updateAdmission(admission, new Map([["deep", load], ["other", 0.5]]), now);
  }
  return admission;
}

const share = (admission: ReturnType<typeof roots>, route: string) =>
  refusedShare(admission, route).share;

test("a service with room refuses nothing", (t) => {
  const admission = overload(0.8, 5_000);
  for (const route of ["cheap", "dear", "paid"]) {
    t.is(share(admission, route), 0);
  }
});

test("overload of a deep service refuses the least important root", (t) => {
  const admission = overload(1.3, 1_500);
  t.true(share(admission, "dear") > 0.2);
  t.is(share(admission, "cheap"), 0);
  t.is(share(admission, "paid"), 0);
  t.is(refusedShare(admission, "dear").service, "deep");
});

test("a root that doesn't use the service is never refused for it", (t) => {
  t.is(share(overload(2, 10_000), "apart"), 0);
});

test("lasting overload reaches the next class, and none is starved", (t) => {
  const admission = overload(2, 10_000);
  const [dear, cheap] = [share(admission, "dear"), share(admission, "cheap")];
  t.true(dear >= cheap);
  t.true(cheap > 0);
  t.true(dear < 1);
});

test("refusals end soon after the overload does", (t) => {
  const admission = overload(1.3, 2_000);
  let now = 2_000;
  while (share(admission, "dear") > 0 && now < 10_000) {
    now += STEP_MS;
    roots(now, admission);
    updateAdmission(admission, new Map([["deep", 0.4]]), now);
  }
  t.true(now < 5_000);
});
