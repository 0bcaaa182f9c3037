/**
 * Configuration of the Pacific Peg Rental Collective:
 *
 *     node --import=tsx examples/collective.ts > collective.json
 *
 * @module
 */
import { configuration, type RequestOptions } from "../src/library.ts";
import { printResult } from "./print_result.ts";

/** May wait, and is shed first. */
const stockCheck: RequestOptions = {
  method: "GET",
  importance: "sheddable",
  idempotent: true,
  retries: 2,
  deadlineMs: 2_000,
};

/** Large, and harmful when it is late, so that it has a short deadline. */
const manifest: RequestOptions = {
  method: "GET",
  importance: "normal",
  idempotent: true,
  retries: 2,
  deadlineMs: 4_000,
};

/** At most once; retries are for attempts that were certainly not run. */
const atMostOnce: RequestOptions = {
  method: "POST",
  importance: "critical",
  idempotent: false,
  retries: 3,
  deadlineMs: 4_000,
};

const collective = configuration("collective")
  .service("bookings", (bookings) =>
    bookings
      .request("availability", { path: "/availability/*", ...stockCheck })
      .request("reserve", { path: "/reserve", ...atMostOnce })
      .request("manifest", { path: "/manifest/*", ...manifest }))
  .service("inventory", (inventory) =>
    inventory
      .request("stock", { path: "/stock/*", ...stockCheck })
      .request("hold", { path: "/hold", ...atMostOnce }))
  .service(
    "payments",
    (payments) =>
      payments.request("deposit", { path: "/deposit", ...atMostOnce }),
  )
  .service("dispatch", (dispatch) =>
    dispatch
      .request("plan", { path: "/plan", ...atMostOnce })
      .request("manifest", { path: "/manifest/*", ...manifest }));

printResult(collective.print());
