import test from "ava";
import { createCallGraph } from "../costs/create_call_graph.ts";
import { createMetrics } from "../metrics/create_metrics.ts";
import { activateRoutes } from "../routes/activate_routes.ts";
import { createAdmission } from "./create_admission.ts";
import { createOrigin } from "./create_origin.ts";
import { createRetryBudget } from "./create_retry_budget.ts";

const random = () => 0.5;
const candidate = (address: string) => ({
  address,
  serverId: address,
  dataCentre: "a",
  load: 0,
  runMs: 1,
  failureRate: 0,
});

// The first server refuses synchronously, so the next attempt starts before the
// first `send` returns. The cancel function of the first attempt must not
// replace that of the next one, or its server works on after the client has
// left.
test("cancels the attempt that follows a synchronous refusal", (t) => {
  const sent: string[] = [];
  let cancelled = 0;
  const activeRoutes = activateRoutes(null, {
    version: 1,
    services: new Map(),
    limits: { headBytes: 1, bodyBytes: 1, headTimeoutMs: 1, idleTimeoutMs: 1 },
    routes: [{
      name: "r",
      host: "h",
      prefix: "/",
      parts: [{ service: "s", weight: 1 }],
      rank: 0,
      repeatable: true,
      targetLatencyMs: 100,
      timeoutMs: 1_000,
      maxAttempts: 2,
    }],
  }, random)!;
  const origin = createOrigin({
    caller: "s",
    dataCentre: "a",
    routes: () => activeRoutes,
    routeExpiringAt: () => null,
    forwarder: {
      candidates: () => [candidate("own"), candidate("other")],
      send({ address }, _request, onOutcome) {
        sent.push(address);
        if (sent.length > 1) return () => cancelled++;
        onOutcome({ kind: "not-run", reason: "leaving", arrived: false }, null);
        return () => {};
      },
    },
    graph: createCallGraph("s", 0),
    admission: createAdmission(0),
    budget: createRetryBudget({ ratio: 0.2, slack: 10 }, 1),
    loads: () => new Map(),
    random,
    steadyTime: () => 0,
    log: () => {},
    metrics: createMetrics(),
  });
  const cancel = origin.start({
    id: "q",
    host: "h",
    method: "GET",
    target: "/",
    fields: [],
    body: Buffer.alloc(0),
    deadlineMs: 1_000,
  }, () => t.fail());
  t.is(sent.length, 2);
  cancel();
  t.is(cancelled, 1);
});
