import { Deployment } from "../../deployments/deployment.ts";

/** What varies between the tests. */
type Options = {
  dataCentres: string[];
  /** Slots of a server of `front`. */
  slots: number;
  workMs: number;
  /** Connections of a server of `front`, the most work that it holds. */
  connections?: number;
};

const view = {
  method: "GET",
  importance: "sheddable",
  idempotent: true,
  retries: 2,
  deadlineMs: 20_000,
} as const;
const order = {
  method: "POST",
  importance: "critical",
  idempotent: false,
  retries: 2,
  deadlineMs: 20_000,
} as const;
const ROOMY = 500;

/**
 * Two services: views, which are idempotent and sheddable, and orders, which
 * are neither and make a nested call that isn't either.
 */
export function ordersDeployment(
  { dataCentres, slots, workMs, connections = ROOMY }: Options,
): Deployment {
  return Deployment.parse({
    name: "orders",
    department: "proof",
    dataCentres,
    services: [
      {
        name: "front",
        slots,
        connections,
        operations: [
          {
            name: "view",
            path: "/view/*",
            workMs,
            bytes: 200,
            calls: [{ method: "GET", path: "/back/stock/all" }],
            ...view,
          },
          {
            name: "order",
            path: "/order",
            workMs,
            bytes: 200,
            calls: [{ method: "POST", path: "/back/hold", step: "hold" }],
            ...order,
          },
        ],
      },
      {
        name: "back",
        slots: ROOMY,
        connections: ROOMY,
        operations: [
          { name: "stock", path: "/stock/*", workMs, bytes: 200, ...view },
          { name: "hold", path: "/hold", workMs, bytes: 200, ...order },
        ],
      },
    ],
    traffic: [],
  });
}
