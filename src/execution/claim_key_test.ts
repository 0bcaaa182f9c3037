import test from "ava";
import fc from "fast-check";
import type { TableService } from "../store/table_service.ts";
import { claimKey } from "./claim_key.ts";

/**
 * `down`: the table is unavailable. `lost`: the write is applied but its
 * response is lost. `lost-before`: the write is not applied.
 */
type Fault = "none" | "down" | "lost" | "lost-before";

/** Creates a table with one row. Each call consumes the next fault. */
function createTable(faults: Fault[]) {
  let token: string | undefined;
  const message = "fault";
  const next = () => faults.shift() ?? "none";
  const table: TableService = {
    get: ({ partition, sort }) => {
      if (next() !== "none") {
        return Promise.resolve({ kind: "unavailable", message });
      }
      if (token === undefined) return Promise.resolve({ kind: "absent" });
      const item = { partition, sort, attributes: { token } };
      return Promise.resolve({ kind: "found", item });
    },
    query: () => Promise.resolve({ kind: "found", items: [] }),
    transact: ([write]) => {
      const fault = next();
      if (fault === "down") {
        return Promise.resolve({ kind: "unavailable", message });
      }
      if (fault === "lost-before") {
        return Promise.resolve({ kind: "unknown", message });
      }
      const { condition, item } = write!;
      const holds = condition.kind === "equals"
        ? token === condition.value
        : token === undefined;
      if (holds) token = String(item.attributes.token);
      if (fault === "lost") {
        return Promise.resolve({ kind: "unknown", message });
      }
      return Promise.resolve({ kind: holds ? "written" : "conflict" });
    },
  };
  return { table, storedToken: () => token };
}

const fault = fc.constantFrom<Fault>("none", "down", "lost", "lost-before");
const ANY_LENGTH = { maxLength: 20, size: "max" } as const;
const EXPIRES = { expires: 1 };

test("concurrent claims of a key get the same token", async (t) => {
  await fc.assert(
    fc.asyncProperty(fc.array(fault, ANY_LENGTH), async (faults) => {
      const { table, storedToken } = createTable(faults);
      const claims = await Promise.all(
        ["t1", "t2", "t3"].map((token) =>
          claimKey(table, { key: "k", token }, EXPIRES)
        ),
      );
      const known = claims.flatMap((claim) =>
        claim.kind === "token" ? [claim.token] : []
      );
      for (const token of known) t.true(token === storedToken());
    }),
    { numRuns: 300 },
  );
});

test("concurrent replacements of a claim get the same token", async (t) => {
  await fc.assert(
    fc.asyncProperty(fc.array(fault, ANY_LENGTH), async (faults) => {
      const { table, storedToken } = createTable(["none", ...faults]);
      await claimKey(table, { key: "k", token: "t1" }, EXPIRES);
      const claims = await Promise.all(
        ["t2", "t3"].map((token) =>
          claimKey(table, { key: "k", token, refused: "t1" }, EXPIRES)
        ),
      );
      for (const claim of claims) {
        if (claim.kind === "token") {
          t.true(claim.token === storedToken());
        }
      }
    }),
    { numRuns: 300 },
  );
});

test("reports an outage and reads back a write whose response was lost", async (t) => {
  const claim = { key: "k", token: "t1" };
  const won = { kind: "token", token: "t1" };
  const results = [];
  for (const faults of [["down"], ["lost"], ["lost", "down"]] as Fault[][]) {
    results.push(await claimKey(createTable(faults).table, claim, EXPIRES));
  }
  const down = { kind: "unknown", reason: "platform-down" };
  const rejected = { kind: "rejected", outcome: down };
  t.deepEqual(results as unknown[], [rejected, won, rejected]);
  const { table } = createTable(["none", "none", "down"]);
  await claimKey(table, { key: "k", token: "t2" }, EXPIRES);
  t.like(await claimKey(table, claim, EXPIRES), {
    outcome: { kind: "unknown" },
  });
});
