import { Deployment } from "./deployment.ts";

const critical = {
  importance: "critical",
  idempotent: false,
  retries: 3,
  deadlineMs: 4_000,
} as const;
const stockCheck = {
  importance: "sheddable",
  idempotent: true,
  retries: 2,
  deadlineMs: 2_000,
} as const;
const manifest = {
  importance: "normal",
  idempotent: true,
  retries: 2,
  deadlineMs: 4_000,
} as const;

/** Coat rack hire: stock checks, reservations with a deposit, manifests. */
export const vitiLevu: Deployment = Deployment.parse({
  name: "viti-levu",
  department: "collective",
  dataCentres: ["suva", "nadi", "lautoka"],
  services: [
    {
      name: "bookings",
      slots: 30,
      connections: 290,
      operations: [
        {
          name: "availability",
          method: "GET",
          path: "/availability/*",
          workMs: 240,
          calls: [{ method: "GET", path: "/inventory/stock/rack" }],
          ...stockCheck,
        },
        {
          name: "reserve",
          method: "POST",
          path: "/reserve",
          workMs: 240,
          bytes: 400,
          calls: [
            { method: "POST", path: "/inventory/hold", step: "hold" },
          ],
          ...critical,
        },
        {
          name: "manifest",
          method: "GET",
          path: "/manifest/*",
          workMs: 240,
          bytes: 32_768,
          calls: [{ method: "GET", path: "/dispatch/manifest/day" }],
          ...manifest,
        },
      ],
    },
    {
      name: "inventory",
      slots: 110,
      connections: 750,
      operations: [
        {
          name: "stock",
          method: "GET",
          path: "/stock/*",
          workMs: 60,
          bytes: 500,
          ...stockCheck,
        },
        {
          name: "hold",
          method: "POST",
          path: "/hold",
          workMs: 20,
          calls: [{ method: "POST", path: "/payments/deposit", step: "pay" }],
          ...critical,
        },
      ],
    },
    {
      name: "payments",
      slots: 110,
      connections: 750,
      operations: [{
        name: "deposit",
        method: "POST",
        path: "/deposit",
        workMs: 20,
        calls: [{ method: "POST", path: "/dispatch/plan", step: "plan" }],
        ...critical,
      }],
    },
    {
      name: "dispatch",
      slots: 110,
      connections: 750,
      operations: [
        {
          name: "plan",
          method: "POST",
          path: "/plan",
          workMs: 20,
          ...critical,
        },
        {
          name: "manifest",
          method: "GET",
          path: "/manifest/*",
          workMs: 60,
          bytes: 32_768,
          ...manifest,
        },
      ],
    },
  ],
  traffic: [
    {
      name: "availability",
      share: 0.6,
      importance: "sheddable",
      method: "GET",
      path: "/bookings/availability/rack",
    },
    {
      name: "manifest",
      share: 0.15,
      importance: "normal",
      method: "GET",
      path: "/bookings/manifest/today",
    },
    {
      name: "reserve",
      share: 0.25,
      importance: "critical",
      method: "POST",
      path: "/bookings/reserve",
    },
  ],
});
