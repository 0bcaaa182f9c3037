import test from "ava";
import { Address } from "./address.ts";

const VALID = ["10.0.0.1:1", "127.0.0.1:65535", "0.0.0.0:80"];
const INVALID = [
  "",
  "10.0.0.1",
  "10.0.0.1:",
  "10.0.0.1:0",
  "10.0.0.1:65536",
  "127.0.0.1:99999",
  "10.0.0.1:1e3",
  "10.0.0.256:80",
  "10.0.0:80",
  "....:80",
  "host:80",
  "10.0.0.1:80:80",
  "10.0.0.1:80\n",
  " 10.0.0.1:80",
  80,
  ["10.0.0.1:80"],
  null,
];

for (const value of VALID) {
  test(`${value} is an address`, (t) => {
    t.true(Address.safeParse(value).success);
  });
}

for (const value of INVALID) {
  test(`${JSON.stringify(value)} is not an address`, (t) => {
    t.false(Address.safeParse(value).success);
  });
}
