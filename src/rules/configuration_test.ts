import test from "ava";
import { agreement, configuration, parseTerms } from "../library.ts";

test("undeclared options must not allow repeats", (t) => {
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

test("every mistake is reported at once with its path", (t) => {
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

test("order of services does not change the printed text", (t) => {
  const empty = configuration("collective");
  const one = empty.service("a", (s) => s).service("b", (s) => s).print();
  const other = empty.service("b", (s) => s).service("a", (s) => s).print();
  t.deepEqual(one, other);
  t.true(one.ok && parseTerms(one.value).ok);
});

test("agreement reports weights that are missing or of others", (t) => {
  const weights: Record<string, number> = { harvest: 2, rival: 1 };
  const parties: string[] = ["harvest", "collective", "harvest"];
  const built = agreement("fair", parties).shares("*", weights).build();
  t.deepEqual(built.ok ? [] : built.issues.map((issue) => issue.code), [
    "duplicate-party",
    "not-a-party",
    "weight-missing",
  ]);
});

test("printed text with foreign structure is an issue, not a crash", (t) => {
  for (const text of ["", "null", "[]", '{"kind":"department"}']) {
    t.false(parseTerms(text).ok, text);
  }
  t.false(parseTerms('{"kind":"department","services":[{"requests":[5]}]}').ok);
});
