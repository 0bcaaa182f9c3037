// Runs the built program once, to catch faults that only bundling causes.
import { execFileSync } from "node:child_process";
import { readFileSync } from "node:fs";
import process from "node:process";

const { version } = JSON.parse(readFileSync("package.json", "utf8"));
const run = (...args) =>
  execFileSync(process.execPath, ["dist/nutmegmoor.cjs", ...args], {
    encoding: "utf8",
  });
if (run("--version").trim() !== version) {
  throw new Error("Version printed by the bundle differs from package.json");
}
if (!run("--help").includes("daemon")) {
  throw new Error("Help printed by the bundle names no daemon command");
}
console.log("smoke run of the bundle passed");
