import { execFileSync } from "node:child_process";
import { ulaanbaatar } from "../deployments/ulaanbaatar.ts";
import { vitiLevu } from "../deployments/viti_levu.ts";
import { demonstrate } from "./demonstrate.ts";

// Runs each installation as separate processes on loopback addresses, below
// capacity and under overload, and stops it afterwards.
execFileSync("node", ["scripts/build.mjs"], { stdio: "inherit" });
await demonstrate(vitiLevu, 71);
await demonstrate(ulaanbaatar, 72);
