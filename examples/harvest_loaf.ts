/**
 * Configuration of the Harvest Loaf Division:
 *
 *     node --import=tsx examples/harvest_loaf.ts > harvest-loaf.json
 *
 * @module
 */
import { configuration, type RequestOptions } from "../src/library.ts";
import { printResult } from "./print_result.ts";

/**
 * Catalogue, standing orders and the calls between services about stock, flour
 * lots and rosters may wait and are shed first. A nested call keeps the
 * importance of its root request instead.
 */
const browsing: RequestOptions = {
  method: "GET",
  importance: "sheddable",
  idempotent: true,
  retries: 2,
  deadlineMs: 2_000,
};

/** Large, and needed at dawn. */
const routeSheet: RequestOptions = {
  method: "GET",
  importance: "normal",
  idempotent: true,
  retries: 2,
  deadlineMs: 6_000,
};

/**
 * Festival orders run at most once. A slot change must take effect exactly once:
 * it runs at most once here, and the caller sends it again with its token.
 */
const atMostOnce: RequestOptions = {
  method: "POST",
  importance: "critical",
  idempotent: false,
  retries: 3,
  deadlineMs: 4_000,
};

const harvestLoaf = configuration("harvest-loaf")
  .service("talkh-shop", (shop) =>
    shop
      .request("catalogue", { path: "/catalogue/*", ...browsing })
      .request("order", { path: "/order", ...atMostOnce }))
  .service("zakhialga", (orders) =>
    orders
      .request("standing", { path: "/standing/*", ...browsing })
      .request("place", { path: "/place", ...atMostOnce }))
  .service("khurgelt", (delivery) =>
    delivery
      .request("slots", { path: "/slots/*", ...browsing })
      .request("change", { path: "/change", ...atMostOnce })
      .request("route-sheet", { path: "/route-sheet/*", ...routeSheet }))
  .service("zam", (routes) =>
    routes
      .request("stock", { path: "/stock/*", ...browsing })
      .request("flour-lots", { path: "/flour-lots/*", ...browsing })
      .request("roster", { path: "/roster/*", ...browsing })
      .request("plan", { path: "/plan", ...atMostOnce })
      .request("sheet", { path: "/sheet/*", ...routeSheet }));

printResult(harvestLoaf.print());
