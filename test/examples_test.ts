import test from "ava";
import { execFileSync } from "node:child_process";
import process from "node:process";
import { parseTerms } from "../src/library.ts";

function requestsOf(example: string) {
  const printed = execFileSync(process.execPath, [
    "--import=tsx",
    `examples/${example}.ts`,
  ], { encoding: "utf8" });
  const terms = parseTerms(printed);
  if (!terms.ok || terms.value.kind !== "department") return [];
  return terms.value.services.flatMap((service) =>
    service.requests.map((request) => ({
      ...request,
      name: `${service.name}/${request.name}`,
    }))
  );
}

test("examples print configurations with the expected importance classes", (t) => {
  const expected = {
    collective: {
      sheddable: ["bookings/availability", "inventory/stock"],
      normal: ["bookings/manifest", "dispatch/manifest"],
      critical: [
        ...["bookings/reserve", "dispatch/plan", "inventory/hold"],
        "payments/deposit",
      ],
    },
    harvest_loaf: {
      sheddable: [
        ...["khurgelt/slots", "talkh-shop/catalogue", "zakhialga/standing"],
        ...["zam/flour-lots", "zam/roster", "zam/stock"],
      ],
      normal: ["khurgelt/route-sheet", "zam/sheet"],
      critical: [
        ...["khurgelt/change", "talkh-shop/order", "zakhialga/place"],
        "zam/plan",
      ],
    },
  };
  for (const [example, classes] of Object.entries(expected)) {
    const requests = requestsOf(example);
    for (const [importance, names] of Object.entries(classes)) {
      const found = requests.filter((each) => each.importance === importance);
      t.deepEqual(found.map(({ name }) => name).sort(), names);
      const once = importance === "critical";
      t.true(found.every(({ idempotent }) => idempotent !== once), example);
    }
  }
});
