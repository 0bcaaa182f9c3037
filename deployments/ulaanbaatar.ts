import { Deployment } from "./deployment.ts";

const critical = {
  importance: "critical",
  idempotent: false,
  retries: 3,
  deadlineMs: 4_000,
} as const;
const browsing = {
  importance: "sheddable",
  idempotent: true,
  retries: 2,
  deadlineMs: 2_000,
} as const;
const routeSheet = {
  importance: "normal",
  idempotent: true,
  retries: 2,
  deadlineMs: 6_000,
} as const;

/** Bakery orders: catalogue, festival orders, slot changes, route sheets. */
export const ulaanbaatar: Deployment = Deployment.parse({
  name: "ulaanbaatar",
  department: "harvest-loaf",
  dataCentres: ["ub-bayanzurkh", "ub-khan-uul", "ub-songino"],
  services: [
    {
      name: "talkh-shop",
      slots: 230,
      connections: 1_500,
      operations: [
        {
          name: "catalogue",
          method: "GET",
          path: "/catalogue/*",
          workMs: 20,
          bytes: 2_000,
          calls: [{ method: "GET", path: "/zakhialga/standing/shop" }],
          ...browsing,
        },
        {
          name: "order",
          method: "POST",
          path: "/order",
          workMs: 20,
          calls: [{ method: "POST", path: "/zakhialga/place", step: "place" }],
          ...critical,
        },
      ],
    },
    {
      name: "zakhialga",
      slots: 230,
      connections: 1_500,
      operations: [
        {
          name: "standing",
          method: "GET",
          path: "/standing/*",
          workMs: 20,
          calls: [{ method: "GET", path: "/khurgelt/slots/day" }],
          ...browsing,
        },
        {
          name: "place",
          method: "POST",
          path: "/place",
          workMs: 20,
          calls: [{ method: "POST", path: "/khurgelt/change", step: "slot" }],
          ...critical,
        },
      ],
    },
    {
      name: "khurgelt",
      slots: 25,
      connections: 250,
      operations: [
        {
          name: "slots",
          method: "GET",
          path: "/slots/*",
          workMs: 200,
          calls: [{ method: "GET", path: "/zam/roster/day" }],
          ...browsing,
        },
        {
          name: "change",
          method: "POST",
          path: "/change",
          workMs: 200,
          calls: [{ method: "POST", path: "/zam/plan", step: "plan" }],
          ...critical,
        },
        {
          name: "route-sheet",
          method: "GET",
          path: "/route-sheet/*",
          workMs: 200,
          bytes: 262_144,
          calls: [{ method: "GET", path: "/zam/sheet/day" }],
          ...routeSheet,
        },
      ],
    },
    {
      name: "zam",
      slots: 230,
      connections: 1_500,
      operations: [
        {
          name: "roster",
          method: "GET",
          path: "/roster/*",
          workMs: 40,
          ...browsing,
        },
        {
          name: "plan",
          method: "POST",
          path: "/plan",
          workMs: 40,
          ...critical,
        },
        {
          name: "sheet",
          method: "GET",
          path: "/sheet/*",
          workMs: 40,
          bytes: 262_144,
          ...routeSheet,
        },
      ],
    },
  ],
  traffic: [
    {
      name: "catalogue",
      share: 0.65,
      importance: "sheddable",
      method: "GET",
      path: "/talkh-shop/catalogue/loaves",
    },
    {
      name: "route-sheet",
      share: 0.1,
      importance: "normal",
      method: "GET",
      path: "/khurgelt/route-sheet/dawn",
    },
    {
      name: "order",
      share: 0.25,
      importance: "critical",
      method: "POST",
      path: "/talkh-shop/order",
    },
  ],
});
