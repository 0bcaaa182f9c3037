import test from "ava";
import { agreement, configuration, parseTerms } from "../library.ts";

test("default options do not allow retries", (t) => {
  const built = configuration("collective")
    .service(
      "bookings",
      (service) =>
        service.request("reserve").request("stock", { method: "GET" }),
    )
    .build();
  const requests = built.ok ? built.value.services[0]?.requests : [];
  t.like(requests?.[0], {
    idempotent: false,
    retries: 0,
    importance: "normal",
  });
  t.like(requests?.[1], { idempotent: true, retries: 0, path: "/stock" });
});

test("all mistakes are reported at once, each with its path", (t) => {
  const built = configuration("Collective")
    .service("bookings", (service) =>
      service
        .request("all", { path: "/*" })
        .request("reserve", { retries: -1, deadlineMs: 0.5 })
        .request("reserve", { method: "PUT" }))
    .service("bookings", (service) => service)
    .build();
  const issues = built.ok ? [] : built.issues;
  t.deepEqual(
    issues.map(({ code, path }) => `${code} ${path.join(".")}`).sort(),
    [
      "duplicate-request services.bookings.requests.reserve",
      "duplicate-service services.bookings",
      "invalid_format department",
      "invalid_type services.bookings.requests.reserve.deadlineMs",
      "too_small services.bookings.requests.reserve.retries",
      "unreachable-request services.bookings.requests.reserve.path",
    ],
  );
  t.true(issues.every((issue) => issue.message.length > 0));
});

test("the order of services does not change the printed text", (t) => {
  const empty = configuration("collective");
  const one = empty.service("a", (s) => s).service("b", (s) => s).print();
  const other = empty.service("b", (s) => s).service("a", (s) => s).print();
  t.deepEqual(one, other);
  t.true(one.ok && parseTerms(one.value).ok);
});

test("an agreement reports missing weights and weights of other departments", (t) => {
  const weights: Record<string, number> = { harvest: 2, rival: 1 };
  const parties: string[] = ["harvest", "collective", "harvest"];
  const built = agreement("fair", parties).shares("*", weights).build();
  t.deepEqual(built.ok ? [] : built.issues.map((issue) => issue.code), [
    "duplicate-party",
    "not-a-party",
    "weight-missing",
  ]);
});

test("text that does not contain terms is reported as an issue", (t) => {
  for (const text of ["", "null", "[]", '{"kind":"department"}']) {
    t.false(parseTerms(text).ok, text);
  }
  t.false(parseTerms('{"kind":"department","services":[{"requests":[5]}]}').ok);
});
