import { Deployment } from "../../deployments/deployment.ts";

type Options = {
  dataCentres: string[];
  /** Slots of a server of `front`. */
  slots: number;
  workMs: number;
  /** Maximum connections of a server of `front`, which bounds the work that it holds. */
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
const AMPLE = 500;

/**
 * Returns two services with views, which are idempotent and sheddable, and
 * orders, which are critical and non-idempotent, as is their nested call.
 */
export function ordersDeployment(
  { dataCentres, slots, workMs, connections = AMPLE }: Options,
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
        slots: AMPLE,
        connections: AMPLE,
        operations: [
          { name: "stock", path: "/stock/*", workMs, bytes: 200, ...view },
          { name: "hold", path: "/hold", workMs, bytes: 200, ...order },
        ],
      },
    ],
    traffic: [],
  });
}
