// Starts the installation of the first steps in README.md: the stand-ins of the
// platform, two daemons and a stand-in backend server for each. Ends all of them
// on Ctrl-C or SIGTERM.
import { execFileSync, spawn } from "node:child_process";
import { existsSync, readFileSync, writeFileSync } from "node:fs";
import process from "node:process";

const PROGRAM = "dist/nutmegmoor.cjs";
const PRIVATE_KEY = "dist/collective.pem";
const PUBLIC_KEY = "dist/collective.key";
const PLATFORM = "127.55.0.1";
const SETTLE_MS = 3_000;

execFileSync(process.execPath, ["scripts/build.mjs"], { stdio: "inherit" });
if (!existsSync(PRIVATE_KEY)) {
  const arguments_ = [PROGRAM, "rules", "keygen", "--out", PRIVATE_KEY];
  writeFileSync(PUBLIC_KEY, execFileSync(process.execPath, arguments_));
}

const children = [
  start(["--import=tsx", "standin/table_service_main.ts", PLATFORM, "9000"]),
  start(["--import=tsx", "standin/object_store_main.ts", PLATFORM, "9001"]),
  ...[1, 2].flatMap((number) => [startDaemon(number), startServer(number)]),
];

function start(args, input = "") {
  const child = spawn(process.execPath, args, {
    stdio: ["pipe", "inherit", "inherit"],
  });
  child.stdin.end(input);
  return child;
}

function startDaemon(number) {
  const settings = readFileSync(`examples/first/vm-${number}.ini`, "utf8") +
    readFileSync(PUBLIC_KEY, "utf8");
  return start([PROGRAM, "daemon", "--settings", "-"], settings);
}

function startServer(number) {
  const settings = readFileSync(`examples/first/server-${number}.json`, "utf8");
  return start(["--import=tsx", "standin/server/main.ts", settings]);
}

function stop() {
  // A daemon drains on SIGTERM and ends by itself.
  for (const child of children) child.kill("SIGTERM");
}

process.once("SIGINT", stop);
process.once("SIGTERM", stop);
setTimeout(() => console.log("Ready; Ctrl-C ends all processes"), SETTLE_MS)
  .unref();
