import test from "ava";
import { DaemonEntry } from "./daemon_entry.ts";

const firstVersionEntry = {
  name: "a",
  address: "10.0.0.1:7620",
  dataCentre: "d",
  service: "s",
  server: { id: "i", slots: 8, leaving: false, cold: false },
  routeVersion: 1,
  alone: false,
};

test("an entry of the first daemon version is accepted with default values", (t) => {
  t.like(DaemonEntry.parse(firstVersionEntry), {
    storeReachable: true,
    takesPieces: false,
    server: { signedOff: false, startedAt: 0 },
  });
});
