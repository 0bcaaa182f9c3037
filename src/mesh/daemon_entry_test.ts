import test from "ava";
import { DaemonEntry } from "./daemon_entry.ts";

const first = {
  name: "a",
  address: "10.0.0.1:7620",
  dataCentre: "d",
  service: "s",
  server: { id: "i", slots: 8, leaving: false, cold: false },
  routeVersion: 1,
  alone: false,
};

test("an entry of an earlier version of the daemon is refused", (t) => {
  t.like(DaemonEntry.parse(first), {
    storeReachable: true,
    takesPieces: false,
    server: { signedOff: false, startedAt: 0 },
  });
});
