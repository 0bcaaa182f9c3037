import { Deployment } from "../deployments/deployment.ts";

const rule = { importance: "critical", retries: 3, deadlineMs: 30_000 };
const large = 12_000_000;

/** A deployment with two services and one server of each in two data centres. */
export const smallDeployment: Deployment = Deployment.parse({
  name: "small",
  department: "collective",
  dataCentres: ["east", "west"],
  services: [
    {
      name: "front",
      slots: 200,
      connections: 400,
      operations: [
        { name: "quick", method: "GET", path: "/quick", workMs: 100 },
        { name: "large", method: "GET", path: "/large", workMs: 100 },
        {
          name: "nested",
          method: "GET",
          path: "/nested",
          workMs: 800,
          calls: [{ method: "GET", path: "/back/slow" }],
        },
        {
          name: "hold",
          method: "POST",
          path: "/hold",
          workMs: 800,
          calls: [{ method: "POST", path: "/back/pack", step: "pack" }],
        },
        {
          name: "order",
          method: "POST",
          path: "/order",
          workMs: 20,
          calls: [{ method: "POST", path: "/back/pack", step: "pack" }],
        },
      ].map((each) => ({
        ...each,
        ...rule,
        bytes: each.name === "large" ? large : 200,
        idempotent: each.method === "GET",
      })),
    },
    {
      name: "back",
      slots: 200,
      connections: 400,
      operations: [
        { name: "slow", method: "GET", path: "/slow", workMs: 300 },
        { name: "pack", method: "POST", path: "/pack", workMs: 100 },
      ].map((each) => ({
        ...each,
        ...rule,
        idempotent: each.method === "GET",
      })),
    },
  ],
  traffic: [
    { name: "quick", share: 0.5, method: "GET", path: "/front/quick" },
    { name: "order", share: 0.5, method: "POST", path: "/front/order" },
  ].map((each) => ({ ...each, importance: "critical" })),
});
