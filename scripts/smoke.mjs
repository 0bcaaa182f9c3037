// Runs bundle and executable once, to catch faults that only building causes.
import { execFileSync } from "node:child_process";
import { readFileSync } from "node:fs";
import process from "node:process";

const PROGRAMS = {
  bundle: [process.execPath, "dist/nutmegmoor.cjs"],
  executable: ["dist/nutmegmoor"],
};
const SAMPLES = ["settings/viti-levu.ini", "settings/ulaanbaatar.ini"];

const { version } = JSON.parse(readFileSync("package.json", "utf8"));
for (const [name, [program, ...before]] of Object.entries(PROGRAMS)) {
  const run = (...args) =>
    execFileSync(program, [...before, ...args], { encoding: "utf8" });
  if (run("--version").trim() !== version) {
    throw new Error(`Version printed by the ${name} differs from package.json`);
  }
  if (!run("--help").includes("daemon")) {
    throw new Error(`Help printed by the ${name} names no daemon command`);
  }
  // Exits with a status other than 0, and so throws, where a sample is refused.
  for (const sample of SAMPLES) run("check-settings", sample);
  console.log(`smoke run of the ${name} passed`);
}
